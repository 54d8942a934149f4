/**
 * Requests that this entry rejects on its own while a scheduler has no room for
 * them, so that in a burst far beyond the capacity the questions and answers are
 * not the load.
 */
import type {Clock, Random} from '@skylarkfield/base';
import type {PlacementResult} from '@skylarkfield/protocol';
import type {ClosedUrgency, UnaskedRequest} from '@skylarkfield/scheduling';
import type {ScheduledRequest} from './schedulerContracts.js';
import type {QueryResult} from './schedulerQuery.js';

export interface ClosedUrgencies {
  /** Returns the rejection of a request; undefined if it asks. */
  reject(request: ScheduledRequest): Rejection | undefined;
  /**
   * Returns the similar requests rejected since the previous call, for the next
   * question.
   */
  takeUnasked(request: ScheduledRequest): readonly UnaskedRequest[];
  /**
   * Applies the result of a question. Only a rejection that closes an urgency
   * accounts for the unasked requests that were told with the question; others
   * are told again.
   */
  record(request: ScheduledRequest, result: QueryResult): void;
}

type Rejection = Extract<PlacementResult, {type: 'rejected'}>;

/**
 * Questions per placed request while an urgency is closed: more than one, so
 * that the scheduler always has enough requests to fill the slots.
 */
const QUESTIONS_PER_PLACEMENT = 1.5;

/** Minimum fraction of the requests that ask, so that none is closed for long. */
const MIN_ASKING_FRACTION = 0.1;

/** Half-life of the counted requests, in milliseconds. */
const COUNT_HALF_LIFE_MS = 500;

/** Upper bound of the period that a scheduler may close an urgency for, in ms. */
const MAX_CLOSED_MS = 200;

/** Bounds of the time until a caller returns, in milliseconds. */
const MIN_RETURN_MS = 50;
const MAX_RETURN_MS = 12_000;

/** Maximum number of unasked requests that are told with one question. */
const MAX_UNASKED = 200;

/** Factor by which a similar request may have more time until its target. */
const TARGET_TOLERANCE = 1.25;

/** Number of customers and urgencies from which on the idle ones are removed. */
const MAX_STATES = 500;
const IDLE_MS = 5_000;

/** Requests of one customer at one urgency. */
interface UrgencyState {
  closedUntil: number;
  /** Largest time until the target of a request that was rejected. */
  targetMs: number;
  returnFromAt: number;
  returnToAt: number;
  /** Requests, and those placed, with a weight that halves over time. */
  requests: number;
  placed: number;
  countedAt: number;
  readonly unasked: UnaskedRequest[];
}

/**
 * Creates the state of one entry, in which nothing is closed.
 *
 * @example
 * const rejection = closedUrgencies.reject(request);
 */
export function createClosedUrgencies(options: {
  readonly clock: Clock;
  readonly random: Random;
}): ClosedUrgencies {
  const {clock, random} = options;
  const states = new Map<string, UrgencyState>();

  function find(request: ScheduledRequest, urgency: number) {
    return states.get(keyOf(request, urgency));
  }

  function findOrCreate(request: ScheduledRequest): UrgencyState {
    const existing = find(request, request.urgency);
    if (existing !== undefined) {
      return existing;
    }
    if (states.size >= MAX_STATES) {
      removeIdle();
    }
    const created = {
      closedUntil: -Infinity,
      targetMs: 0,
      returnFromAt: 0,
      returnToAt: 0,
      requests: 0,
      placed: 0,
      countedAt: clock.now(),
      unasked: [],
    };
    states.set(keyOf(request, request.urgency), created);
    return created;
  }

  function removeIdle(): void {
    for (const [key, {countedAt}] of states) {
      if (clock.now() - countedAt > IDLE_MS) {
        states.delete(key);
      }
    }
  }

  function decay(state: UrgencyState): void {
    const now = clock.now();
    const factor = 2 ** ((state.countedAt - now) / COUNT_HALF_LIFE_MS);
    state.requests *= factor;
    state.placed *= factor;
    state.countedAt = now;
  }

  /** Returns the closed state that applies to a request. */
  function findClosed(request: ScheduledRequest): UrgencyState | undefined {
    const now = clock.now();
    const targetMs = request.targetAt - now;
    for (let urgency = request.urgency; urgency >= 0; urgency--) {
      const state = find(request, urgency);
      if (
        state !== undefined &&
        state.closedUntil > now &&
        targetMs <= state.targetMs * TARGET_TOLERANCE
      ) {
        return state;
      }
    }
    return undefined;
  }

  function isSampled({requests, placed}: UrgencyState): boolean {
    const fraction = (QUESTIONS_PER_PLACEMENT * (placed + 1)) / (requests + 1);
    return random.chance(Math.max(MIN_ASKING_FRACTION, fraction));
  }

  function addUnasked(
    {unasked}: UrgencyState,
    added: readonly UnaskedRequest[],
  ): void {
    unasked.push(...added);
    unasked.splice(0, unasked.length - MAX_UNASKED);
  }

  function chooseReturnMs({returnFromAt, returnToAt}: UrgencyState): number {
    const returnAt = returnFromAt + random.next() * (returnToAt - returnFromAt);
    const returnMs = Math.ceil(returnAt - clock.now());
    return Math.min(MAX_RETURN_MS, Math.max(MIN_RETURN_MS, returnMs));
  }

  function close(
    state: UrgencyState,
    {targetAt}: ScheduledRequest,
    {forMs, returnFromMs, returnToMs}: ClosedUrgency,
  ): void {
    const now = clock.now();
    const isClosed = state.closedUntil > now;
    const targetMs = targetAt - now;
    state.targetMs = isClosed ? Math.max(state.targetMs, targetMs) : targetMs;
    state.closedUntil = now + Math.min(MAX_CLOSED_MS, forMs);
    state.returnFromAt = now + returnFromMs;
    state.returnToAt = now + returnToMs;
  }

  return {
    reject(request) {
      const closed = findClosed(request);
      const own =
        closed === undefined
          ? find(request, request.urgency)
          : findOrCreate(request);
      if (own === undefined) {
        return undefined;
      }
      decay(own);
      own.requests += 1;
      if (closed === undefined || isSampled(own)) {
        return undefined;
      }
      const retryAfterMs = chooseReturnMs(closed);
      const {fingerprint} = request;
      if (fingerprint !== undefined) {
        const returnAt = clock.now() + retryAfterMs;
        addUnasked(own, [{fingerprint, returnAt}]);
      }
      return {type: 'rejected', reason: 'no-room', retryAfterMs};
    },
    takeUnasked: request =>
      find(request, request.urgency)?.unasked.splice(0) ?? [],
    record(request, result) {
      if (result.type === 'rejected' && isValid(result.closed)) {
        close(findOrCreate(request), request, result.closed);
        return;
      }
      const state = find(request, request.urgency);
      if (state !== undefined) {
        state.placed += result.type === 'placed' ? 1 : 0;
        addUnasked(state, request.unasked ?? []);
      }
    },
  };
}

function keyOf(
  {service, version, customer}: ScheduledRequest,
  urgency: number,
): string {
  return `${service} ${version} ${urgency} ${customer}`;
}

/** Whether the message of a peer closes an urgency. */
function isValid(closed: ClosedUrgency | undefined): closed is ClosedUrgency {
  return (
    closed !== undefined &&
    [closed.forMs, closed.returnFromMs, closed.returnToMs].every(
      value => Number.isFinite(value) && value >= 0,
    )
  );
}
