/**
 * Waiting requests of one service: strictly by urgency, and fair by cost among
 * the customers within an urgency (start-time fair queueing).
 *
 * Each customer's next request carries a start tag, the cost the customer has
 * been given so far divided by its weight. The smallest tag goes first, so over
 * any span two waiting customers differ by at most one request each.
 */

/** What the queue has to know of an item. */
export interface Queued {
  readonly customer: string;
  readonly urgency: number;
  readonly cost: number;
}

export interface FairQueue<T extends Queued> {
  readonly size: number;
  push(item: T): void;
  /** Urgency of the next item. */
  headUrgency(): number | undefined;
  /** Takes the next item by urgency and fairness. */
  shift(): T | undefined;
  /** Takes an item out of turn; false when it is not there. */
  remove(item: T): boolean;
  /**
   * Takes the waiting item that has the least claim to its place, if the
   * newcomer's claim is better: a less important one, or one of a customer
   * that holds more than its part of the newcomer's urgency.
   */
  displaceFor(newcomer: Queued): T | undefined;
  /** Takes the item with the least claim to its place. */
  pop(): T | undefined;
  /** Cost waiting at urgencies more important than the given one. */
  costBefore(urgency: number): number;
  /** Cost that is served before a new request of this customer at this urgency. */
  costAheadWithin(newcomer: Queued): number;
  /** Customers that are remembered, for the bound on memory. */
  flowCount(): number;
  items(): readonly T[];
}

interface Flow<T> {
  readonly customer: string;
  readonly items: T[];
  /** Virtual time at which the customer's last served request ends. */
  finishTag: number;
  waitingCost: number;
}

interface Level<T> {
  readonly flows: Map<string, Flow<T>>;
  virtualTime: number;
  waitingCost: number;
  size: number;
}

export const URGENCY_COUNT = 8;

/** A flow map is swept when it is this much larger than the last sweep left it. */
const SWEEP_MARGIN = 32;

/**
 * Makes an empty queue.
 *
 * @example
 * const queue = createFairQueue<Waiter>(customer => weights.get(customer) ?? 1);
 */
export function createFairQueue<T extends Queued>(
  weightOf: (customer: string) => number,
): FairQueue<T> {
  const levels = Array.from({length: URGENCY_COUNT}, () => createLevel<T>());
  let size = 0;

  function levelOf(urgency: number): Level<T> {
    const index = Math.min(URGENCY_COUNT - 1, Math.max(0, Math.trunc(urgency)));
    return levels[index] as Level<T>;
  }

  /** How much of the level a flow holds relative to its weight. */
  function holding(flow: Flow<T>): number {
    return flow.waitingCost / weightOf(flow.customer);
  }

  function largestFlow(level: Level<T>): Flow<T> | undefined {
    let largest: Flow<T> | undefined;
    for (const flow of level.flows.values()) {
      if (flow.items.length === 0) {
        continue;
      }
      if (largest === undefined || holding(flow) > holding(largest)) {
        largest = flow;
      }
    }
    return largest;
  }

  function takeFrom(level: Level<T>, flow: Flow<T>, index: number): T {
    const [item] = flow.items.splice(index, 1);
    if (item === undefined) {
      throw new RangeError('the flow has no such item');
    }
    flow.waitingCost =
      flow.items.length === 0 ? 0 : flow.waitingCost - item.cost;
    level.size -= 1;
    level.waitingCost = level.size === 0 ? 0 : level.waitingCost - item.cost;
    size -= 1;
    return item;
  }

  function takeNewestOf(level: Level<T>): T | undefined {
    const flow = largestFlow(level);
    return flow && takeFrom(level, flow, flow.items.length - 1);
  }

  function serve(level: Level<T>): T | undefined {
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
    const item = takeFrom(level, next, 0);
    level.virtualTime = nextTag;
    next.finishTag = nextTag + item.cost / weightOf(next.customer);
    forgetIdle(level);
    return item;
  }

  return {
    get size() {
      return size;
    },
    push(item) {
      const level = levelOf(item.urgency);
      let flow = level.flows.get(item.customer);
      if (flow === undefined) {
        flow = {
          customer: item.customer,
          items: [],
          finishTag: level.virtualTime,
          waitingCost: 0,
        };
        level.flows.set(item.customer, flow);
      }
      // A customer that waited with nothing to do earns no credit for it.
      if (flow.items.length === 0) {
        flow.finishTag = Math.max(flow.finishTag, level.virtualTime);
      }
      flow.items.push(item);
      flow.waitingCost += item.cost;
      level.waitingCost += item.cost;
      level.size += 1;
      size += 1;
    },
    headUrgency() {
      const index = levels.findIndex(level => level.size > 0);
      return index < 0 ? undefined : index;
    },
    shift() {
      const level = levels.find(candidate => candidate.size > 0);
      return level && serve(level);
    },
    remove(item) {
      const level = levelOf(item.urgency);
      const flow = level.flows.get(item.customer);
      const index = flow?.items.indexOf(item) ?? -1;
      if (flow === undefined || index < 0) {
        return false;
      }
      takeFrom(level, flow, index);
      forgetIdle(level);
      return true;
    },
    displaceFor(newcomer) {
      const own = levelOf(newcomer.urgency);
      for (let index = URGENCY_COUNT - 1; index >= 0; index--) {
        const level = levels[index] as Level<T>;
        if (level === own) {
          break;
        }
        if (level.size > 0) {
          return takeNewestOf(level);
        }
      }
      const largest = largestFlow(own);
      const held = own.flows.get(newcomer.customer)?.waitingCost ?? 0;
      const wanted = (held + newcomer.cost) / weightOf(newcomer.customer);
      if (largest === undefined || largest.customer === newcomer.customer) {
        return undefined;
      }
      return holding(largest) > wanted ? takeNewestOf(own) : undefined;
    },
    pop() {
      const level = levels.findLast(candidate => candidate.size > 0);
      return level && takeNewestOf(level);
    },
    costBefore(urgency) {
      let cost = 0;
      for (const level of levels) {
        if (level === levelOf(urgency)) {
          break;
        }
        cost += level.waitingCost;
      }
      return cost;
    },
    costAheadWithin(newcomer) {
      const level = levelOf(newcomer.urgency);
      const ownWeight = weightOf(newcomer.customer);
      const own = level.flows.get(newcomer.customer)?.waitingCost ?? 0;
      const span = (own + newcomer.cost) / ownWeight;
      let cost = own;
      for (const flow of level.flows.values()) {
        if (flow.customer !== newcomer.customer) {
          cost += Math.min(flow.waitingCost, span * weightOf(flow.customer));
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

function createLevel<T>(): Level<T> {
  return {flows: new Map(), virtualTime: 0, waitingCost: 0, size: 0};
}

/**
 * Drops flows that hold nothing and have no debt left. Customers come and go;
 * without this the map would grow with every customer ever seen.
 */
function forgetIdle<T>(level: Level<T>) {
  if (level.size === 0) {
    // Nobody waits, so there is nobody to be fair to and all debts end.
    level.flows.clear();
    level.virtualTime = 0;
    return;
  }
  if (level.flows.size < level.size + SWEEP_MARGIN) {
    return;
  }
  for (const [customer, flow] of level.flows) {
    if (flow.items.length === 0 && flow.finishTag <= level.virtualTime) {
      level.flows.delete(customer);
    }
  }
}
