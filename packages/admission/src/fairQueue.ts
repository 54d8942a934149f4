/**
 * Queue of one service's requests: strict priority by urgency, and start-time
 * fair queueing by cost among the customers of an urgency.
 *
 * Each customer's next request has a start tag, the customer's served cost
 * divided by its weight. The smallest tag is served first, so over any interval
 * the service of two backlogged customers differs by at most one request each.
 */

/** Attributes of an item that the queue orders by. */
export interface QueueItem {
  readonly customer: string;
  readonly urgency: number;
  readonly cost: number;
}

export interface FairQueue<T extends QueueItem> {
  readonly size: number;
  enqueue(item: T): void;
  /** Returns the urgency of the next item. */
  headUrgency(): number | undefined;
  /** Removes and returns the next item by urgency and fairness. */
  dequeue(): T | undefined;
  /** Removes an item from any position; returns false if it is not queued. */
  remove(item: T): boolean;
  /**
   * Removes and returns the item with the lowest priority if the incoming item
   * has a higher one: an item that is less urgent, or one of a customer with
   * more weighted cost queued at the same urgency.
   */
  evictFor(incoming: QueueItem): T | undefined;
  /** Removes and returns the item with the lowest priority. */
  evict(): T | undefined;
  /** Returns the cost queued at more urgent levels than the given one. */
  costOfMoreUrgent(urgency: number): number;
  /** Returns the cost at the same urgency that is served before `incoming`. */
  costAheadAtSameUrgency(incoming: QueueItem): number;
  /** Returns the number of flows in memory over all urgencies. */
  flowCount(): number;
  items(): readonly T[];
}

/** Items of one customer at one urgency. */
interface Flow<T> {
  readonly customer: string;
  readonly items: T[];
  /** Virtual finish time of the customer's last served item. */
  finishTag: number;
  queuedCost: number;
}

interface UrgencyLevel<T> {
  readonly flows: Map<string, Flow<T>>;
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
      throw new RangeError('the flow has no such item');
    }
    flow.queuedCost = flow.items.length === 0 ? 0 : flow.queuedCost - item.cost;
    level.size -= 1;
    level.queuedCost = level.size === 0 ? 0 : level.queuedCost - item.cost;
    size -= 1;
    return item;
  }

  function evictNewest(level: UrgencyLevel<T>): T | undefined {
    const flow = largestFlow(level);
    return flow && removeAt(level, flow, flow.items.length - 1);
  }

  function dequeueFrom(level: UrgencyLevel<T>): T | undefined {
    let next: Flow<T> | undefined;
    let nextTag = Infinity;
    for (const flow of level.flows.values()) {
      const tag = Math.max(flow.finishTag, level.virtualTime);
      if (flow.items.length > 0 && tag < nextTag) {
        next = flow;
        nextTag = tag;
      }
    }
    if (next === undefined) {
      return undefined;
    }
    const item = removeAt(level, next, 0);
    level.virtualTime = nextTag;
    next.finishTag = nextTag + item.cost / weightOf(next.customer);
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
      // An idle customer accumulates no credit.
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
    evictFor(incoming) {
      const ownLevel = levelOf(incoming.urgency);
      for (let index = URGENCY_COUNT - 1; index >= 0; index--) {
        const level = levels[index] as UrgencyLevel<T>;
        if (level === ownLevel) {
          break;
        }
        if (level.size > 0) {
          return evictNewest(level);
        }
      }
      const largest = largestFlow(ownLevel);
      const ownCost = ownLevel.flows.get(incoming.customer)?.queuedCost ?? 0;
      const weightedOwnCost =
        (ownCost + incoming.cost) / weightOf(incoming.customer);
      if (largest === undefined || largest.customer === incoming.customer) {
        return undefined;
      }
      return weightedQueuedCost(largest) > weightedOwnCost
        ? evictNewest(ownLevel)
        : undefined;
    },
    evict() {
      const level = levels.findLast(candidate => candidate.size > 0);
      return level && evictNewest(level);
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
      const ownWeight = weightOf(incoming.customer);
      const ownCost = level.flows.get(incoming.customer)?.queuedCost ?? 0;
      const normalizedCost = (ownCost + incoming.cost) / ownWeight;
      let cost = ownCost;
      for (const flow of level.flows.values()) {
        if (flow.customer !== incoming.customer) {
          cost += Math.min(
            flow.queuedCost,
            normalizedCost * weightOf(flow.customer),
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
 * Drops flows without items whose finish tag has passed. Without this the map
 * would grow with every customer ever seen.
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
