/** Outlier detection: compares an endpoint with its pool. */
import {median} from './median.js';
import type {Candidate} from './contracts.js';
import type {Health, HealthStats} from './health.js';
import type {LoadView} from './loadView.js';

/** State of an endpoint that outlier detection needs. */
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
const MIN_SAMPLES = 8;
const MIN_FAILURE_RATE = 0.3;
const FAILURE_RATE_FACTOR = 3;
/** Above `MIN_SAMPLES`: waits make latency vary far more than engine speed. */
const MIN_SLOW_SAMPLES = 24;
const MIN_LATENCY_RATIO = 5;
const LATENCY_RATIO_FACTOR = 4;
/** Largest unavailable share of a pool after ejecting a reachable endpoint. */
const MAX_EJECTED_SHARE = 0.34;
/** Largest fraction of the remaining slots that an ejection may fill. */
const MAX_UTILIZATION = 0.85;

/**
 * Returns why the endpoint should be ejected, if at all. Its rates are compared
 * with the median of the others, so that a shared fault ejects no endpoint.
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
  const reason = reasonRelativeToPool(stats, endpoint, pool);
  if (reason === undefined || !mayEject(endpoint, pool)) {
    return undefined;
  }
  return reason;
}

function reasonRelativeToPool(
  stats: HealthStats,
  endpoint: MonitoredEndpoint,
  pool: readonly MonitoredEndpoint[],
): EjectionReason | undefined {
  const others = pool.filter(other => other !== endpoint);
  const medianFailureRate = median(
    others.map(other => other.health.stats.failureRate),
  );
  const failureRateLimit = Math.max(
    MIN_FAILURE_RATE,
    FAILURE_RATE_FACTOR * medianFailureRate,
  );
  if (
    stats.failuresInRow >= CONSECUTIVE_FAILURE_LIMIT &&
    medianFailureRate < 0.5
  ) {
    return 'consecutive-failures';
  }
  if (stats.samples < MIN_SAMPLES) {
    return undefined;
  }
  if (stats.failureRate > failureRateLimit) {
    return 'failure-rate';
  }
  if (stats.samples < MIN_SLOW_SAMPLES) {
    return undefined;
  }
  const medianLatencyRatio = median(
    others.map(other => other.health.stats.slowness),
  );
  const latencyRatioLimit = Math.max(
    MIN_LATENCY_RATIO,
    LATENCY_RATIO_FACTOR * medianLatencyRatio,
  );
  return stats.slowness > latencyRatioLimit ? 'slow' : undefined;
}

/**
 * Returns false when ejecting would leave too few endpoints or overload them.
 * An endpoint that sometimes fails serves more requests than overloaded ones.
 */
function mayEject(
  endpoint: MonitoredEndpoint,
  pool: readonly MonitoredEndpoint[],
): boolean {
  const remaining = pool.filter(
    other => other !== endpoint && other.health.state === 'live',
  );
  const present = pool.filter(other => other.health.state !== 'leaving');
  const unavailableAfter = present.length - remaining.length;
  if (unavailableAfter > Math.max(1, present.length * MAX_EJECTED_SHARE)) {
    return false;
  }
  let requests = endpoint.load.estimate().requests;
  let slots = 0;
  for (const other of remaining) {
    const estimate = other.load.estimate();
    requests += estimate.requests;
    slots += estimate.slots;
  }
  return requests <= slots * MAX_UTILIZATION;
}

/** Ejected or unreachable endpoints of a lost domain: number and share. */
const MIN_UNREACHABLE_IN_DOMAIN = 2;
const MIN_UNREACHABLE_SHARE = 0.4;

/**
 * Returns the live endpoints of the failure domain if it looks lost: a large
 * share of it is ejected or unreachable.
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
  const domain = pool.filter(
    other => other.candidate.failureDomain === failureDomain,
  );
  const unreachable = domain.filter(
    other =>
      other.health.state === 'ejected' ||
      other.health.stats.unreachableInRow > 0,
  );
  if (
    unreachable.length < MIN_UNREACHABLE_IN_DOMAIN ||
    unreachable.length < domain.length * MIN_UNREACHABLE_SHARE
  ) {
    return [];
  }
  return domain.filter(other => other.health.state === 'live');
}
