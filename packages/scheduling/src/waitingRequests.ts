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
  /** Returns the request to start next. */
  next(): WaitingRequest | undefined;
  /** Removes the request that `next` has returned, and counts its start. */
  start(waiting: WaitingRequest): void;
  /** Whether a request of this or a higher urgency waits. */
  hasUpTo(urgency: number): boolean;
  /** Whether an urgency got less than its minimum share of recent starts. */
  isShort(urgency: number): boolean;
  /** Returns the cost of the requests that start before a new one. */
  costBefore(incoming: WaitingRequest): number;
  /** Returns the part of `costBefore` of the same urgency. */
  costBeforeAtSameUrgency(incoming: WaitingRequest): number;
  /** Returns the cost of the requests that can still meet their target. */
  timelyCost(): number;
  /** Returns the cost of the requests that can only meet their deadline. */
  lateCost(): number;
  find(asker: string, id: string): WaitingRequest | undefined;
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
  readonly returning: WaitingRequest[];
  readonly fresh: FairQueue<WaitingRequest>;
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
    (): Level => ({returning: [], fresh: createFairQueue(() => 1)}),
  );
  const lateRequests = new Set<WaitingRequest>();
  const startShares = new Float64Array(URGENCY_COUNT);

  function levelOf({urgency}: Pick<WaitingRequest, 'urgency'>): Level {
    return levels[urgency]!;
  }

  function sizeOf({returning, fresh}: Level): number {
    return returning.length + fresh.size;
  }

  function timelySize(): number {
    return levels.reduce((size, level) => size + sizeOf(level), 0);
  }

  function itemsOf({returning, fresh}: Level): WaitingRequest[] {
    return [...returning, ...fresh.items()];
  }

  function returningCost({returning}: Level): number {
    return returning.reduce((sum, {cost}) => sum + cost, 0);
  }

  function costOf(level: Level): number {
    return returningCost(level) + level.fresh.costOfMoreUrgent(URGENCY_COUNT);
  }

  function removeFrom(items: WaitingRequest[], item: WaitingRequest): boolean {
    const index = items.indexOf(item);
    if (index >= 0) {
      items.splice(index, 1);
    }
    return index >= 0;
  }

  function remove(waiting: WaitingRequest): void {
    if (lateRequests.delete(waiting)) {
      return;
    }
    const {returning, fresh} = levelOf(waiting);
    if (!removeFrom(returning, waiting)) {
      fresh.remove(waiting);
    }
  }

  function costBeforeAtSameUrgency(incoming: WaitingRequest): number {
    const level = levelOf(incoming);
    return incoming.isReturning
      ? returningCost(level)
      : returningCost(level) + level.fresh.costAheadAtSameUrgency(incoming);
  }

  /** Returns the urgency whose share of the starts is most below its minimum. */
  function findShortUrgency(first: number): number | undefined {
    let shortest: number | undefined;
    for (let urgency = first + 1; urgency < URGENCY_COUNT; urgency++) {
      const share = startShares[urgency]!;
      if (sizeOf(levels[urgency]!) === 0 || share >= MIN_START_SHARE) {
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
      const {returning, fresh} = levelOf(waiting);
      if (waiting.isReturning) {
        returning.push(waiting);
        return;
      }
      fresh.enqueue(waiting);
    },
    addLate: waiting => void lateRequests.add(waiting),
    isLate: waiting => lateRequests.has(waiting),
    remove,
    next() {
      const first = levels.findIndex(level => sizeOf(level) > 0);
      if (first < 0) {
        return nextLate();
      }
      const {returning, fresh} = levels[findShortUrgency(first) ?? first]!;
      return returning[0] ?? fresh.peek();
    },
    start(waiting) {
      const {returning, fresh} = levelOf(waiting);
      if (lateRequests.delete(waiting)) {
        return;
      }
      countStart(waiting.urgency);
      if (!removeFrom(returning, waiting) && fresh.peek() === waiting) {
        fresh.dequeue();
      }
    },
    isShort: urgency => startShares[urgency]! < MIN_START_SHARE,
    hasUpTo: urgency =>
      levels.slice(0, urgency + 1).some(level => sizeOf(level) > 0),
    costBefore: incoming =>
      levels
        .slice(0, incoming.urgency)
        .reduce((sum, level) => sum + costOf(level), 0) +
      costBeforeAtSameUrgency(incoming),
    costBeforeAtSameUrgency,
    timelyCost: () => levels.reduce((sum, level) => sum + costOf(level), 0),
    lateCost: () => [...lateRequests].reduce((sum, {cost}) => sum + cost, 0),
    find: (asker, id) =>
      [...levels.flatMap(itemsOf), ...lateRequests].find(
        waiting => waiting.asker === asker && waiting.request.id === id,
      ),
    timely: () => levels.flatMap(itemsOf),
    late: () => [...lateRequests],
    dump: () => ({
      waiting: levels.map(sizeOf),
      late: lateRequests.size,
      startShares: [...startShares].map(share => Number(share.toFixed(3))),
    }),
  };
}
