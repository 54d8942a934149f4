/**
 * Requests that wait for a slot, and the order in which they start.
 *
 * The most urgent request starts first, but each urgency with waiting requests
 * gets a minimum share of the starts, since a strict order would starve the
 * least urgent ones for as long as an overload lasts. Requests that can no longer
 * meet their latency target start after all that can.
 */
import {
  createFairQueue,
  URGENCY_COUNT,
  type FairQueue,
} from '@skylarkfield/admission';
import type {PlacementDecision, PlacementRequest} from './contracts.js';
import {addTo, deleteFrom, keyOf} from './requestKeys.js';

/** A request that waits. */
export interface WaitingRequest {
  readonly asker: string;
  readonly request: PlacementRequest;
  readonly customer: string;
  readonly urgency: number;
  /** Time of the whole service that the request takes, in milliseconds. */
  readonly cost: number;
  /** Whether the caller returns at the time that it was told. */
  readonly isReturning: boolean;
  /** Monotonic milliseconds since which the request waits. */
  readonly waitsSince: number;
  /** Monotonic milliseconds after which it is not held any more. */
  readonly heldUntil: number;
  onDidDecide(decision: PlacementDecision): void;
}

export interface WaitingRequests {
  readonly size: number;
  /** Adds a request that can still meet its latency target. */
  add(waiting: WaitingRequest): void;
  /** Adds a request that can only meet its deadline. */
  addLate(waiting: WaitingRequest): void;
  /** Whether a waiting request can only meet its deadline. */
  isLate(waiting: WaitingRequest): boolean;
  remove(waiting: WaitingRequest): void;
  /** Returns the request to start next, of the urgencies that are not blocked. */
  next(blocked: ReadonlySet<number>): WaitingRequest | undefined;
  /** Removes the request that `next` has returned, and counts its start. */
  start(waiting: WaitingRequest): void;
  /** Whether a request of this or a higher urgency waits. */
  hasUpTo(urgency: number): boolean;
  /** Counts the start of a request that has not waited. */
  countStart(urgency: number): void;
  /** Whether an urgency got less than its minimum share of recent starts. */
  isShort(urgency: number): boolean;
  /** Whether requests wait whose urgency is lower and got less than its share. */
  hasShortBelow(urgency: number): boolean;
  /** Returns the cost of the requests that start before a new one. */
  costBefore(incoming: WaitingRequest): number;
  /** Returns the part of `costBefore` of the same urgency. */
  costBeforeAtSameUrgency(incoming: WaitingRequest): number;
  /** Returns the cost of the requests that can still meet their target. */
  timelyCost(): number;
  /** Returns the cost of the requests that can only meet their deadline. */
  lateCost(): number;
  find(asker: string, id: string): WaitingRequest | undefined;
  /** Returns the waiting requests of an asker. */
  ofAsker(asker: string): readonly WaitingRequest[];
  /** Returns the waiting requests that can still meet their target. */
  timely(): readonly WaitingRequest[];
  late(): readonly WaitingRequest[];
  dump(): unknown;
}

/** Fraction of the starts that each urgency with waiting requests gets. */
export const MIN_START_SHARE = 0.1;

/** Number of starts over which the shares are averaged. */
const SHARE_WINDOW_STARTS = 50;

interface Level {
  /** Requests that return as told, in the order of their arrival. */
  readonly returning: Set<WaitingRequest>;
  readonly fresh: FairQueue<WaitingRequest>;
  returningCost: number;
}

/**
 * Creates an empty queue.
 *
 * @example
 * const waiting = createWaitingRequests();
 * waiting.add(waitingRequest);
 * const next = waiting.next();
 */
export function createWaitingRequests(): WaitingRequests {
  const levels = Array.from(
    {length: URGENCY_COUNT},
    (): Level => ({
      returning: new Set(),
      fresh: createFairQueue(() => 1),
      returningCost: 0,
    }),
  );
  const lateRequests = new Set<WaitingRequest>();
  const byKey = new Map<string, WaitingRequest>();
  const byAsker = new Map<string, Set<WaitingRequest>>();
  let lateCost = 0;
  const startShares = new Float64Array(URGENCY_COUNT);

  function levelOf({urgency}: Pick<WaitingRequest, 'urgency'>): Level {
    return levels[urgency]!;
  }

  function sizeOf({returning, fresh}: Level): number {
    return returning.size + fresh.size;
  }

  function timelySize(): number {
    return levels.reduce((size, level) => size + sizeOf(level), 0);
  }

  function itemsOf({returning, fresh}: Level): WaitingRequest[] {
    return [...returning, ...fresh.items()];
  }

  function costOf(level: Level): number {
    return level.returningCost + level.fresh.costOfMoreUrgent(URGENCY_COUNT);
  }

  function addToIndex(waiting: WaitingRequest): void {
    byKey.set(keyOf(waiting.asker, waiting.request.id), waiting);
    addTo(byAsker, waiting.asker, waiting);
  }

  function removeFromIndex(waiting: WaitingRequest): void {
    const key = keyOf(waiting.asker, waiting.request.id);
    if (byKey.get(key) === waiting) {
      byKey.delete(key);
    }
    deleteFrom(byAsker, waiting.asker, waiting);
  }

  function removeLate(waiting: WaitingRequest): boolean {
    const isRemoved = lateRequests.delete(waiting);
    lateCost -= isRemoved ? waiting.cost : 0;
    if (lateRequests.size === 0) {
      lateCost = 0;
    }
    return isRemoved;
  }

  function removeReturning(waiting: WaitingRequest): boolean {
    const level = levelOf(waiting);
    const isRemoved = level.returning.delete(waiting);
    level.returningCost -= isRemoved ? waiting.cost : 0;
    if (level.returning.size === 0) {
      level.returningCost = 0;
    }
    return isRemoved;
  }

  function remove(waiting: WaitingRequest): void {
    removeFromIndex(waiting);
    if (!removeLate(waiting) && !removeReturning(waiting)) {
      levelOf(waiting).fresh.remove(waiting);
    }
  }

  function costBeforeAtSameUrgency(incoming: WaitingRequest): number {
    const level = levelOf(incoming);
    return incoming.isReturning
      ? level.returningCost
      : level.returningCost + level.fresh.costAheadAtSameUrgency(incoming);
  }

  /** Returns the urgency whose share of the starts is most below its minimum. */
  function findShortUrgency(
    first: number,
    blocked: ReadonlySet<number>,
  ): number | undefined {
    let shortest: number | undefined;
    for (let urgency = first + 1; urgency < URGENCY_COUNT; urgency++) {
      const share = startShares[urgency]!;
      if (
        sizeOf(levels[urgency]!) === 0 ||
        share >= MIN_START_SHARE ||
        blocked.has(urgency)
      ) {
        continue;
      }
      if (shortest === undefined || share < startShares[shortest]!) {
        shortest = urgency;
      }
    }
    return shortest;
  }

  function countStart(urgency: number): void {
    for (let index = 0; index < URGENCY_COUNT; index++) {
      const target = index === urgency ? 1 : 0;
      const share = startShares[index]!;
      startShares[index] = share + (target - share) / SHARE_WINDOW_STARTS;
    }
  }

  /** Returns the late request to start next: the most urgent, oldest first. */
  function nextLate(): WaitingRequest | undefined {
    let next: WaitingRequest | undefined;
    for (const waiting of lateRequests) {
      if (next === undefined || waiting.urgency < next.urgency) {
        next = waiting;
      }
    }
    return next;
  }

  return {
    get size() {
      return timelySize() + lateRequests.size;
    },
    add(waiting) {
      addToIndex(waiting);
      const level = levelOf(waiting);
      if (waiting.isReturning) {
        level.returning.add(waiting);
        level.returningCost += waiting.cost;
        return;
      }
      level.fresh.enqueue(waiting);
    },
    addLate(waiting) {
      addToIndex(waiting);
      lateRequests.add(waiting);
      lateCost += waiting.cost;
    },
    isLate: waiting => lateRequests.has(waiting),
    remove,
    next(blocked) {
      const first = levels.findIndex(
        (level, urgency) => sizeOf(level) > 0 && !blocked.has(urgency),
      );
      if (first < 0) {
        return blocked.size === 0 ? nextLate() : undefined;
      }
      const urgency = findShortUrgency(first, blocked) ?? first;
      const {returning, fresh} = levels[urgency]!;
      const [firstReturning] = returning;
      return firstReturning ?? fresh.peek();
    },
    start(waiting) {
      removeFromIndex(waiting);
      if (removeLate(waiting)) {
        return;
      }
      countStart(waiting.urgency);
      const {fresh} = levelOf(waiting);
      if (!removeReturning(waiting) && fresh.peek() === waiting) {
        fresh.dequeue();
      }
    },
    countStart,
    isShort: urgency => startShares[urgency]! < MIN_START_SHARE,
    hasShortBelow: urgency =>
      findShortUrgency(urgency, new Set()) !== undefined,
    hasUpTo: urgency =>
      levels.slice(0, urgency + 1).some(level => sizeOf(level) > 0),
    costBefore: incoming =>
      levels
        .slice(0, incoming.urgency)
        .reduce((sum, level) => sum + costOf(level), 0) +
      costBeforeAtSameUrgency(incoming),
    costBeforeAtSameUrgency,
    timelyCost: () => levels.reduce((sum, level) => sum + costOf(level), 0),
    lateCost: () => lateCost,
    find: (asker, id) => byKey.get(keyOf(asker, id)),
    ofAsker: asker => [...(byAsker.get(asker) ?? [])],
    timely: () => levels.flatMap(itemsOf),
    late: () => [...lateRequests],
    dump: () => ({
      waiting: levels.map(sizeOf),
      late: lateRequests.size,
      startShares: [...startShares].map(share => Number(share.toFixed(3))),
    }),
  };
}
