/**
 * Queue of one service's requests: strict priority by urgency, and start-time
 * fair queueing by cost among the customers of an urgency.
 *
 * Each customer's next request has a start tag, the customer's served cost
 * divided by its weight. The request with the smallest tag is served first, so
 * that over any interval the weighted served costs of two backlogged customers
 * differ by at most the weighted cost of one request of each customer.
 */

/** Attributes of an item that determine its position in the queue. */
export interface QueueItem {
  readonly customer: string;
  readonly urgency: number;
  readonly cost: number;
}

export interface FairQueue<T extends QueueItem> {
  readonly size: number;
  enqueue(item: T): void;
  /**
   * Returns the urgency of the next item, or undefined if the queue is empty.
   */
  headUrgency(): number | undefined;
  /** Returns the next item by urgency and fairness. */
  peek(): T | undefined;
  /** Removes and returns the next item by urgency and fairness. */
  dequeue(): T | undefined;
  /** Removes an item from any position; returns false if it is not queued. */
  remove(item: T): boolean;
  /**
   * Removes and returns the item with the lowest priority if the incoming item
   * has a higher priority. An item has a lower priority if it is less urgent,
   * or if it is equally urgent and its customer has more weighted cost queued.
   */
  evictForIncoming(incoming: QueueItem): T | undefined;
  /** Removes and returns the item with the lowest priority. */
  evictLowestPriority(): T | undefined;
  /**
   * Returns the total cost of the queued items that are more urgent than
   * `urgency`.
   */
  costOfMoreUrgent(urgency: number): number;
  /**
   * Returns the total cost of the queued items of the same urgency that are
   * served before `incoming`.
   */
  costAheadAtSameUrgency(incoming: QueueItem): number;
  /** Returns the number of flows in memory, one per customer and urgency. */
  flowCount(): number;
  items(): readonly T[];
}

/** Queued items of one customer at one urgency. */
interface Flow<T> {
  readonly customer: string;
  readonly items: T[];
  /** Virtual finish time of the customer's last served item. */
  finishTag: number;
  queuedCost: number;
}

interface UrgencyLevel<T> {
  readonly flows: Map<string, Flow<T>>;
  /** Start tag of the last served item. */
  virtualTime: number;
  queuedCost: number;
  size: number;
}

export const URGENCY_COUNT = 8;

/** Number of flows beyond a level's queued items that triggers pruning. */
const PRUNE_MARGIN = 32;

/**
 * Creates an empty queue.
 *
 * @example
 * const queue = createFairQueue<QueuedRequest>(customer => weights.get(customer) ?? 1);
 */
export function createFairQueue<T extends QueueItem>(
  weightOf: (customer: string) => number,
): FairQueue<T> {
  const levels = Array.from({length: URGENCY_COUNT}, () =>
    createUrgencyLevel<T>(),
  );
  let size = 0;

  function levelOf(urgency: number): UrgencyLevel<T> {
    const index = Math.min(URGENCY_COUNT - 1, Math.max(0, Math.trunc(urgency)));
    return levels[index] as UrgencyLevel<T>;
  }

  /** Returns the flow's queued cost divided by its customer's weight. */
  function weightedQueuedCost(flow: Flow<T>): number {
    return flow.queuedCost / weightOf(flow.customer);
  }

  /** Returns the flow of the level with the most weighted cost queued. */
  function largestFlow(level: UrgencyLevel<T>): Flow<T> | undefined {
    let largest: Flow<T> | undefined;
    for (const flow of level.flows.values()) {
      if (flow.items.length === 0) {
        continue;
      }
      if (
        largest === undefined ||
        weightedQueuedCost(flow) > weightedQueuedCost(largest)
      ) {
        largest = flow;
      }
    }
    return largest;
  }

  function removeAt(level: UrgencyLevel<T>, flow: Flow<T>, index: number): T {
    const [item] = flow.items.splice(index, 1);
    if (item === undefined) {
      throw new RangeError('item index is out of range of the flow');
    }
    flow.queuedCost = flow.items.length === 0 ? 0 : flow.queuedCost - item.cost;
    level.size -= 1;
    level.queuedCost = level.size === 0 ? 0 : level.queuedCost - item.cost;
    size -= 1;
    return item;
  }

  /** Removes the newest item of the flow with the most weighted cost queued. */
  function evictFromLargestFlow(level: UrgencyLevel<T>): T | undefined {
    const flow = largestFlow(level);
    return flow && removeAt(level, flow, flow.items.length - 1);
  }

  function startTagOf(level: UrgencyLevel<T>, flow: Flow<T>): number {
    return Math.max(flow.finishTag, level.virtualTime);
  }

  /** Returns the flow with the smallest start tag. */
  function nextFlow(level: UrgencyLevel<T>): Flow<T> | undefined {
    let next: Flow<T> | undefined;
    for (const flow of level.flows.values()) {
      if (flow.items.length === 0) {
        continue;
      }
      if (
        next === undefined ||
        startTagOf(level, flow) < startTagOf(level, next)
      ) {
        next = flow;
      }
    }
    return next;
  }

  function dequeueFrom(level: UrgencyLevel<T>): T | undefined {
    const flow = nextFlow(level);
    if (flow === undefined) {
      return undefined;
    }
    const startTag = startTagOf(level, flow);
    const item = removeAt(level, flow, 0);
    level.virtualTime = startTag;
    flow.finishTag = startTag + item.cost / weightOf(flow.customer);
    pruneIdleFlows(level);
    return item;
  }

  return {
    get size() {
      return size;
    },
    enqueue(item) {
      const level = levelOf(item.urgency);
      let flow = level.flows.get(item.customer);
      if (flow === undefined) {
        flow = {
          customer: item.customer,
          items: [],
          finishTag: level.virtualTime,
          queuedCost: 0,
        };
        level.flows.set(item.customer, flow);
      }
      // A customer gains no priority from the time without queued items.
      if (flow.items.length === 0) {
        flow.finishTag = Math.max(flow.finishTag, level.virtualTime);
      }
      flow.items.push(item);
      flow.queuedCost += item.cost;
      level.queuedCost += item.cost;
      level.size += 1;
      size += 1;
    },
    headUrgency() {
      const index = levels.findIndex(level => level.size > 0);
      return index < 0 ? undefined : index;
    },
    peek() {
      const level = levels.find(candidate => candidate.size > 0);
      return level && nextFlow(level)?.items[0];
    },
    dequeue() {
      const level = levels.find(candidate => candidate.size > 0);
      return level && dequeueFrom(level);
    },
    remove(item) {
      const level = levelOf(item.urgency);
      const flow = level.flows.get(item.customer);
      const index = flow?.items.indexOf(item) ?? -1;
      if (flow === undefined || index < 0) {
        return false;
      }
      removeAt(level, flow, index);
      pruneIdleFlows(level);
      return true;
    },
    evictForIncoming(incoming) {
      const incomingLevel = levelOf(incoming.urgency);
      for (let index = URGENCY_COUNT - 1; index >= 0; index--) {
        const level = levels[index] as UrgencyLevel<T>;
        if (level === incomingLevel) {
          break;
        }
        if (level.size > 0) {
          return evictFromLargestFlow(level);
        }
      }
      const largest = largestFlow(incomingLevel);
      const customerCost =
        incomingLevel.flows.get(incoming.customer)?.queuedCost ?? 0;
      const weightedCustomerCost =
        (customerCost + incoming.cost) / weightOf(incoming.customer);
      if (largest === undefined || largest.customer === incoming.customer) {
        return undefined;
      }
      return weightedQueuedCost(largest) > weightedCustomerCost
        ? evictFromLargestFlow(incomingLevel)
        : undefined;
    },
    evictLowestPriority() {
      const level = levels.findLast(candidate => candidate.size > 0);
      return level && evictFromLargestFlow(level);
    },
    costOfMoreUrgent(urgency) {
      let cost = 0;
      for (const level of levels) {
        if (level === levelOf(urgency)) {
          break;
        }
        cost += level.queuedCost;
      }
      return cost;
    },
    costAheadAtSameUrgency(incoming) {
      const level = levelOf(incoming.urgency);
      const customerWeight = weightOf(incoming.customer);
      const customerCost = level.flows.get(incoming.customer)?.queuedCost ?? 0;
      const weightedCustomerCost =
        (customerCost + incoming.cost) / customerWeight;
      let cost = customerCost;
      for (const flow of level.flows.values()) {
        if (flow.customer !== incoming.customer) {
          cost += Math.min(
            flow.queuedCost,
            weightedCustomerCost * weightOf(flow.customer),
          );
        }
      }
      return cost;
    },
    flowCount: () => levels.reduce((sum, level) => sum + level.flows.size, 0),
    items: () =>
      levels.flatMap(level =>
        [...level.flows.values()].flatMap(flow => flow.items),
      ),
  };
}

function createUrgencyLevel<T>(): UrgencyLevel<T> {
  return {flows: new Map(), virtualTime: 0, queuedCost: 0, size: 0};
}

/**
 * Drops flows that have no items and whose finish tag the virtual time of the
 * level has passed. If such flows were kept, the map would grow with every new
 * customer.
 */
function pruneIdleFlows<T>(level: UrgencyLevel<T>) {
  if (level.size === 0) {
    // No customer is backlogged, so the virtual time of the level can be reset.
    level.flows.clear();
    level.virtualTime = 0;
    return;
  }
  if (level.flows.size < level.size + PRUNE_MARGIN) {
    return;
  }
  for (const [customer, flow] of level.flows) {
    if (flow.items.length === 0 && flow.finishTag <= level.virtualTime) {
      level.flows.delete(customer);
    }
  }
}
