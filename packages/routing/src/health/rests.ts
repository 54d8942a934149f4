/**
 * Endpoints that have rejected a request and asked this entry for a rest.
 *
 * Each endpoint rests from each entry separately. An endpoint that rejects
 * seems idle, so without the rest it would be the first choice of every entry.
 */
import {
  createEmitter,
  type Clock,
  type DecisionLog,
  type Event,
  type Random,
} from '@skylarkfield/base';
import type {EndpointLimits} from '../limits/endpointLimits.js';

export interface Rests extends EndpointLimits {
  /** Records that the endpoint asks for a rest, in milliseconds. */
  recordRest(endpoint: string, restMs: number): void;
  /** Records that the endpoint answered a request without asking for a rest. */
  recordAnswer(endpoint: string): void;
  isResting(endpoint: string): boolean;
  /** Drops old rests of endpoints that are not in the collection. */
  retainEndpoints(endpoints: {has(endpoint: string): boolean}): void;
  /** Fires when an endpoint begins to rest. */
  readonly onDidBegin: Event<string>;
  dump(): unknown;
}

interface Rest {
  /** End of the rest, in monotonic milliseconds. */
  until: number;
  /** Time at which the endpoint asked for it. */
  recordedAt: number;
  /** Time of the last request after the rest; infinitely long ago if none. */
  triedAt: number;
}

/**
 * Jitter of the end of a rest, as a fraction of it and in milliseconds, so that
 * the entries do not return in the same instant.
 */
const JITTER_FRACTION = 0.2;
const MAX_JITTER_MS = 500;

/**
 * Interval of requests after a rest until the endpoint answers one without
 * asking for another rest, in milliseconds.
 */
const TRIAL_INTERVAL_MS = 250;

/**
 * Time for which a rest is kept without a registration, in milliseconds: the
 * platform may lose registrations while it is unavailable, and restore them.
 */
const RETENTION_MS = 60_000;

/**
 * Longest wait suggested to callers, in milliseconds: endpoints may be added
 * during a longer rest.
 */
const MAX_WAIT_MS = 60_000;

/**
 * Creates the rests of the endpoints of one entry; none rests at first.
 *
 * @example
 * rests.recordRest('i-1@7', 3_000);
 * rests.allowsRequest('i-1@7'); // false for 3 s
 */
export function createRests(options: {
  readonly clock: Clock;
  readonly random: Random;
  readonly decisions: DecisionLog;
}): Rests {
  const {clock, random, decisions} = options;
  const rests = new Map<string, Rest>();
  const beginEmitter = createEmitter<string>();
  let total = 0;

  function isResting(endpoint: string): boolean {
    const rest = rests.get(endpoint);
    return rest !== undefined && clock.now() < rest.until;
  }

  function extend(endpoint: string, restMs: number): void {
    const jitterMs =
      random.next() * Math.min(MAX_JITTER_MS, restMs * JITTER_FRACTION);
    const until = clock.now() + restMs + jitterMs;
    const wasResting = isResting(endpoint);
    const previousUntil = rests.get(endpoint)?.until ?? -Infinity;
    rests.set(endpoint, {
      until: Math.max(until, previousUntil),
      recordedAt: clock.now(),
      triedAt: -Infinity,
    });
    if (wasResting) {
      return;
    }
    total += 1;
    decisions.recordDecision(
      'routing',
      endpoint,
      'rest',
      'according to its rejection',
      {restMs: Math.round(restMs)},
    );
    beginEmitter.fire(endpoint);
  }

  /** Milliseconds until a request may be sent to a resting or tried endpoint. */
  function remainingMs({until, triedAt}: Rest): number {
    return Math.max(0, until, triedAt + TRIAL_INTERVAL_MS) - clock.now();
  }

  return {
    recordRest(endpoint, restMs) {
      if (restMs > 0) {
        extend(endpoint, restMs);
      }
    },
    recordAnswer(endpoint) {
      if (rests.has(endpoint) && !isResting(endpoint)) {
        rests.delete(endpoint);
      }
    },
    isResting,
    allowsRequest(endpoint) {
      const rest = rests.get(endpoint);
      return rest === undefined || remainingMs(rest) <= 0;
    },
    consumeToken(endpoint) {
      const rest = rests.get(endpoint);
      if (rest !== undefined) {
        rest.triedAt = clock.now();
      }
    },
    waitMs(endpoint) {
      const rest = rests.get(endpoint);
      return rest === undefined
        ? 0
        : Math.min(MAX_WAIT_MS, Math.max(0, remainingMs(rest)));
    },
    retainEndpoints(endpoints) {
      for (const [endpoint, {recordedAt}] of rests) {
        const isOld = clock.now() - recordedAt > RETENTION_MS;
        if (isOld && !endpoints.has(endpoint)) {
          rests.delete(endpoint);
        }
      }
    },
    onDidBegin: beginEmitter.event,
    dump: () => ({
      total,
      remainingMs: Object.fromEntries(
        [...rests].map(([endpoint, rest]) => [
          endpoint,
          Math.round(remainingMs(rest)),
        ]),
      ),
    }),
  };
}
