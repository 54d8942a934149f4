/** Judges an endpoint against its pool. */
import {median} from './median.js';
import type {Candidate} from './contracts.js';
import type {Health, HealthFigures} from './health.js';
import type {LoadView} from './loadView.js';

/** One endpoint with what this entry knows of it, as far as judging needs. */
export interface Judged {
  readonly candidate: Candidate;
  readonly health: Health;
  readonly load: LoadView;
}

/** Why an endpoint is put aside; undefined when it is not. */
export type EjectionReason =
  | 'unreachable'
  | 'failing'
  | 'failing-more'
  | 'slow';

const MAX_UNREACHABLE = 2;
const MAX_FAILURES = 4;
const MIN_SAMPLES = 8;
const MIN_FAILURE_RATE = 0.3;
const FAILURE_FACTOR = 3;
/** Waits vary by far more than engines do, so slowness needs more evidence than failing. */
const MIN_SLOW_SAMPLES = 24;
const MIN_SLOWNESS = 5;
const SLOWNESS_FACTOR = 4;
/** The most of a pool's endpoints that may be aside for failing or slowness. */
const MAX_EJECTED_SHARE = 0.34;
/** The rest may be filled up to this fraction of its slots. */
const MAX_FILL = 0.85;

/**
 * Decides by an endpoint's own figures and those of its pool. A fault that all
 * share is not the endpoint's, so rates are compared with the pool's median.
 *
 * @example
 * const reason = ejectionReason(endpoint, pool);
 */
export function ejectionReason(
  endpoint: Judged,
  pool: readonly Judged[],
): EjectionReason | undefined {
  const {figures} = endpoint.health;
  if (figures.unreachableInRow >= MAX_UNREACHABLE) {
    return 'unreachable';
  }
  const reason = relativeReason(figures, endpoint, pool);
  if (reason === undefined || !mayEject(endpoint, pool)) {
    return undefined;
  }
  return reason;
}

function relativeReason(
  figures: HealthFigures,
  endpoint: Judged,
  pool: readonly Judged[],
): EjectionReason | undefined {
  const others = pool.filter(other => other !== endpoint);
  const usualFailures = median(
    others.map(other => other.health.figures.failureRate),
  );
  const failureLimit = Math.max(
    MIN_FAILURE_RATE,
    FAILURE_FACTOR * usualFailures,
  );
  if (figures.failuresInRow >= MAX_FAILURES && usualFailures < 0.5) {
    return 'failing';
  }
  if (figures.samples < MIN_SAMPLES) {
    return undefined;
  }
  if (figures.failureRate > failureLimit) {
    return 'failing-more';
  }
  if (figures.samples < MIN_SLOW_SAMPLES) {
    return undefined;
  }
  const usualSlowness = median(
    others.map(other => other.health.figures.slowness),
  );
  const slownessLimit = Math.max(MIN_SLOWNESS, SLOWNESS_FACTOR * usualSlowness);
  return figures.slowness > slownessLimit ? 'slow' : undefined;
}

/**
 * False when putting the endpoint aside would drown the rest: an endpoint that
 * fails now and then serves more than others that are overrun serve for it.
 */
function mayEject(endpoint: Judged, pool: readonly Judged[]): boolean {
  const rest = pool.filter(
    other => other !== endpoint && other.health.state === 'live',
  );
  const present = pool.filter(other => other.health.state !== 'leaving');
  const asideAfter = present.length - rest.length;
  if (asideAfter > Math.max(1, present.length * MAX_EJECTED_SHARE)) {
    return false;
  }
  let requests = endpoint.load.estimate().requests;
  let slots = 0;
  for (const other of rest) {
    const estimate = other.load.estimate();
    requests += estimate.requests;
    slots += estimate.slots;
  }
  return requests <= slots * MAX_FILL;
}

/** Endpoints of one failure domain that must be unreachable before the others are doubted. */
const MIN_LOST = 2;
const LOST_SHARE = 0.4;

/**
 * Endpoints that are doubted because their failure domain looks lost: a
 * sizeable part of it has become unreachable.
 *
 * @example
 * doubtedByDomain(endpoint, pool).forEach(other => other.health.doubt());
 */
export function doubtedByDomain<T extends Judged>(
  endpoint: T,
  pool: readonly T[],
): T[] {
  const {failureDomain} = endpoint.candidate;
  const domain = pool.filter(
    other => other.candidate.failureDomain === failureDomain,
  );
  const lost = domain.filter(
    other =>
      other.health.state === 'ejected' ||
      other.health.figures.unreachableInRow > 0,
  );
  if (lost.length < MIN_LOST || lost.length < domain.length * LOST_SHARE) {
    return [];
  }
  return domain.filter(other => other.health.state === 'live');
}
