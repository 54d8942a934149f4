/** Paths from one entry to the endpoints of one service, and what is known. */
import type {Disposable, Random} from '@skylarkfield/base';
import {createReachMachine, type ReachMachine} from './reachMachine.js';

/**
 * Minimum time without bytes from any endpoint of a service, in milliseconds,
 * after which an unanswered request leads to probes. Longer than the service
 * time of plain calls, and far shorter than the time that callers wait.
 */
export const QUIET_MS = 300;

/**
 * Mean interval of probe rounds while this entry is cut off, and while no entry
 * reaches the service and all of them probe it, in milliseconds.
 */
const RECOVERY_INTERVAL_MS = {'cut-off': 500, gone: 800};

/** Relative jitter of the interval, so that entries do not probe in step. */
const INTERVAL_JITTER = 0.4;

/**
 * Minimum interval of rounds that found the endpoints reachable, in
 * milliseconds; bounds the cost of probes for a service whose responses are
 * slow and rare.
 */
const MIN_ROUND_INTERVAL_MS = 1_000;

/**
 * Minimum interval of rounds after failed connections and questions of other
 * entries, in milliseconds.
 */
export const MIN_URGENT_INTERVAL_MS = 250;

/** An unanswered request. */
export interface PathExchange {
  readonly endpoint: string;
  /** Time until which it may be quiet. */
  quietUntil: number;
}

/** Paths from this entry to the endpoints of one service. */
export interface ServicePaths {
  readonly service: string;
  readonly machine: ReachMachine;
  readonly exchanges: Set<PathExchange>;
  /** Time of the last bytes from each endpoint. */
  readonly lastBytesAt: Map<string, number>;
  readonly unconnectableEndpoints: Set<string>;
  /** Endpoints that have failed since they last sent bytes. */
  readonly failedEndpoints: Set<string>;
  readonly probedAt: Map<string, number>;
  /** Unanswered probes by endpoint. */
  readonly probes: Map<string, Promise<boolean>>;
  lastContactAt: number;
  /** Start of the last round of probes. */
  lastRoundAt: number;
  isProbing: boolean;
  /** Whether the next round is urgent: a connection failed, or a peer asked. */
  isRoundUrgent: boolean;
  /** Whether failures are evidence about the endpoints while they are lost. */
  isLossEvidence: boolean;
  timer: Disposable | undefined;
  /** Time since which a decision is awaited; infinite if none is. */
  awaitedSince: number;
  callbacks: ((isEvidence: boolean) => void)[];
}

/**
 * Creates the paths to a service whose endpoints are reachable.
 *
 * @example
 * const paths = createServicePaths('chat');
 */
export function createServicePaths(service: string): ServicePaths {
  return {
    service,
    machine: createReachMachine(),
    exchanges: new Set(),
    lastBytesAt: new Map(),
    unconnectableEndpoints: new Set(),
    failedEndpoints: new Set(),
    probedAt: new Map(),
    probes: new Map(),
    lastContactAt: -Infinity,
    lastRoundAt: -Infinity,
    isProbing: false,
    isRoundUrgent: false,
    isLossEvidence: false,
    timer: undefined,
    awaitedSince: Infinity,
    callbacks: [],
  };
}

/**
 * Whether no requests should be sent over the paths.
 *
 * @example
 * if (isLost(paths)) { callback(paths.isLossEvidence); }
 */
export function isLost({machine}: ServicePaths): boolean {
  return machine.current === 'cut-off' || machine.current === 'gone';
}

/** Time at which an unanswered request will have been quiet for too long. */
function quietEndsAt({exchanges, lastContactAt}: ServicePaths): number {
  let quietUntil = Infinity;
  for (const exchange of exchanges) {
    quietUntil = Math.min(quietUntil, exchange.quietUntil);
  }
  return Math.max(quietUntil, lastContactAt + QUIET_MS);
}

/**
 * Returns the endpoints that are less likely to answer a probe: those that have
 * failed, and those whose requests have been quiet for too long.
 *
 * @example
 * const doubtfulEndpoints = findDoubtfulEndpoints(paths, clock.now());
 */
export function findDoubtfulEndpoints(
  {failedEndpoints, exchanges}: ServicePaths,
  now: number,
): ReadonlySet<string> {
  const doubtfulEndpoints = new Set(failedEndpoints);
  for (const {endpoint, quietUntil} of exchanges) {
    if (quietUntil <= now) {
      doubtfulEndpoints.add(endpoint);
    }
  }
  return doubtfulEndpoints;
}

/**
 * Returns the time at which a round of probes is due; infinite while no request
 * is unanswered and nobody waits for a decision.
 *
 * @example
 * const waitMs = roundDueAt(paths, clock.now()) - clock.now();
 */
export function roundDueAt(paths: ServicePaths, now: number): number {
  if (paths.isRoundUrgent) {
    return Math.max(now, paths.lastRoundAt + MIN_URGENT_INTERVAL_MS);
  }
  return Math.max(
    Math.min(quietEndsAt(paths), paths.awaitedSince + QUIET_MS),
    paths.lastRoundAt + MIN_ROUND_INTERVAL_MS,
  );
}

/**
 * Forgets what is known about endpoints that are not in the set.
 *
 * @example
 * retainEndpoints(paths, new Set(['i-1@7']));
 */
export function retainEndpoints(
  paths: ServicePaths,
  ids: ReadonlySet<string>,
): void {
  for (const times of [paths.probedAt, paths.lastBytesAt]) {
    [...times.keys()]
      .filter(id => !ids.has(id))
      .forEach(id => times.delete(id));
  }
  for (const failed of [paths.failedEndpoints, paths.unconnectableEndpoints]) {
    [...failed].filter(id => !ids.has(id)).forEach(id => failed.delete(id));
  }
}

/**
 * Returns the time until the next probe round of a service that is not reached,
 * in milliseconds.
 *
 * @example
 * clock.after(recoveryDelayMs('cut-off', random), probe);
 */
export function recoveryDelayMs(
  state: keyof typeof RECOVERY_INTERVAL_MS,
  random: Random,
): number {
  const jitter = 1 + INTERVAL_JITTER * (random.next() - 0.5);
  return RECOVERY_INTERVAL_MS[state] * jitter;
}
