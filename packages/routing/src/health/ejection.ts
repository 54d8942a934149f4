/** Outlier detection: compares an endpoint with the others of its pool. */
import {median} from '../selection/median.js';
import type {Candidate} from '../contracts.js';
import type {Health, HealthStats} from './health.js';
import type {LoadView} from '../selection/loadView.js';

/** Endpoint with the state that outlier detection reads. */
export interface MonitoredEndpoint {
  readonly candidate: Candidate;
  readonly health: Health;
  readonly load: LoadView;
}

/** Why an endpoint is ejected. */
export type EjectionReason =
  | 'unreachable'
  | 'consecutive-failures'
  | 'failure-rate'
  | 'slow';

const CONSECUTIVE_UNREACHABLE_LIMIT = 2;
const CONSECUTIVE_FAILURE_LIMIT = 4;
/** Minimum attempts for an ejection by failure rate. */
const MIN_SAMPLES = 8;
const MIN_FAILURE_RATE = 0.3;
/** Multiple of the pool's median failure rate above which to eject. */
const FAILURE_RATE_FACTOR = 3;
/**
 * Minimum attempts for an ejection by latency, more than `MIN_SAMPLES`: waiting
 * makes latency vary far more than engine speed does.
 */
const MIN_SLOW_SAMPLES = 24;
const MIN_LATENCY_RATIO = 5;
/** Multiple of the pool's median latency ratio above which to eject. */
const LATENCY_RATIO_FACTOR = 4;
/** Largest share of a pool that an ejection may leave unavailable. */
const MAX_EJECTED_SHARE = 0.34;
/**
 * Largest share of the remaining slots that may be in use after an ejection.
 */
const MAX_UTILIZATION = 0.85;

/**
 * Returns why the endpoint should be ejected; undefined if it should not be.
 * Its failure rate and latency are compared with the median of the pool's other
 * endpoints, so that a shared fault ejects no endpoint. An unreachable endpoint
 * is ejected in any case.
 *
 * @example
 * const reason = ejectionReason(endpoint, pool);
 */
export function ejectionReason(
  endpoint: MonitoredEndpoint,
  pool: readonly MonitoredEndpoint[],
): EjectionReason | undefined {
  const {stats} = endpoint.health;
  if (stats.unreachableInRow >= CONSECUTIVE_UNREACHABLE_LIMIT) {
    return 'unreachable';
  }
  const reason = outlierReason(stats, endpoint, pool);
  if (reason === undefined || !canEject(endpoint, pool)) {
    return undefined;
  }
  return reason;
}

// Medians are computed only if the endpoint's own figures are bad enough, as
// this runs after each attempt.
function outlierReason(
  stats: HealthStats,
  endpoint: MonitoredEndpoint,
  pool: readonly MonitoredEndpoint[],
): EjectionReason | undefined {
  const {failuresInRow, failureRate, samples, slowness} = stats;
  const medianOfOthers = (figure: 'failureRate' | 'slowness') =>
    median(
      pool
        .filter(other => other !== endpoint)
        .map(other => other.health.stats[figure]),
    );
  if (
    failuresInRow >= CONSECUTIVE_FAILURE_LIMIT &&
    medianOfOthers('failureRate') < 0.5
  ) {
    return 'consecutive-failures';
  }
  if (
    samples >= MIN_SAMPLES &&
    failureRate > MIN_FAILURE_RATE &&
    failureRate > FAILURE_RATE_FACTOR * medianOfOthers('failureRate')
  ) {
    return 'failure-rate';
  }
  return samples >= MIN_SLOW_SAMPLES &&
    slowness > MIN_LATENCY_RATIO &&
    slowness > LATENCY_RATIO_FACTOR * medianOfOthers('slowness')
    ? 'slow'
    : undefined;
}

/**
 * Returns whether the endpoint's pool stays large enough without it. Keeping an
 * endpoint that sometimes fails is better than overloading the others.
 */
function canEject(
  endpoint: MonitoredEndpoint,
  pool: readonly MonitoredEndpoint[],
): boolean {
  const otherLiveEndpoints = pool.filter(
    other => other !== endpoint && other.health.state === 'live',
  );
  const stayingEndpoints = pool.filter(
    other => other.health.state !== 'leaving',
  );
  const unavailableCount = stayingEndpoints.length - otherLiveEndpoints.length;
  if (
    unavailableCount > Math.max(1, stayingEndpoints.length * MAX_EJECTED_SHARE)
  ) {
    return false;
  }
  let requests = endpoint.load.estimate().requests;
  let slots = 0;
  for (const other of otherLiveEndpoints) {
    const estimate = other.load.estimate();
    requests += estimate.requests;
    slots += estimate.slots;
  }
  return requests <= slots * MAX_UTILIZATION;
}

/** Minimum number and share of unreachable endpoints in a lost domain. */
const MIN_UNREACHABLE_IN_DOMAIN = 2;
const MIN_UNREACHABLE_SHARE = 0.4;

/**
 * Returns the live endpoints of the endpoint's failure domain if the domain
 * looks lost, that is, many of its endpoints are ejected or unreachable.
 * Returns no endpoints if the domain does not look lost.
 *
 * @example
 * for (const {health} of liveEndpointsOfLostDomain(endpoint, pool)) {
 *   health.requireProbe();
 * }
 */
export function liveEndpointsOfLostDomain<T extends MonitoredEndpoint>(
  endpoint: T,
  pool: readonly T[],
): T[] {
  const {failureDomain} = endpoint.candidate;
  const domainEndpoints = pool.filter(
    other => other.candidate.failureDomain === failureDomain,
  );
  const unreachableEndpoints = domainEndpoints.filter(
    other =>
      other.health.state === 'ejected' ||
      other.health.stats.unreachableInRow > 0,
  );
  if (
    unreachableEndpoints.length < MIN_UNREACHABLE_IN_DOMAIN ||
    unreachableEndpoints.length < domainEndpoints.length * MIN_UNREACHABLE_SHARE
  ) {
    return [];
  }
  return domainEndpoints.filter(other => other.health.state === 'live');
}
