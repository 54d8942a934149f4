/**
 * Likelihood ratios of one cell: how much likelier the evidence is if the
 * candidate is worse by some factor than if it is not.
 *
 * Errors are compared given how many there were of both versions: of those, the
 * candidate's part follows from the shares alone while it is no worse. The
 * error rate itself drops out, so a trouble that strikes both versions, or an
 * incumbent that is itself ill, says nothing against the candidate.
 *
 * Latency is compared by the difference of mean logarithms in the same window,
 * where whatever slows both versions drops out too.
 */
import type {Cell, Sums} from './evidence.js';

/**
 * Log-likelihood ratio of `worse` times the incumbent's error rate against `base` times.
 *
 * @example
 * // Evidence for twice the errors against as many.
 * const logRatio = errorRatio(cell, 2, 1);
 */
export function errorRatio(
  {candidate, incumbent}: Cell,
  worse: number,
  base: number,
): number {
  const withWorse = candidatePart(candidate, incumbent, worse);
  const withBase = candidatePart(candidate, incumbent, base);
  return (
    candidate.errors * Math.log(withWorse / withBase) +
    incumbent.errors * Math.log((1 - withWorse) / (1 - withBase))
  );
}

/** The candidate's part of all errors when its rate is `factor` times the incumbent's. */
function candidatePart(
  candidate: Sums,
  incumbent: Sums,
  factor: number,
): number {
  const weighted = factor * candidate.requests;
  return weighted / (weighted + incumbent.requests);
}

/**
 * Log-likelihood ratio of an error rate raised by `added` against the rate `base`.
 *
 * @example
 * // Evidence for 0.2 % more errors against 0.1 %.
 * const logRatio = addedErrorRatio(cell, 0.001, 0.002);
 */
export function addedErrorRatio(
  {candidate}: Cell,
  base: number,
  added: number,
): number {
  const good = Math.min(0.9, Math.max(base, 1e-6));
  const bad = Math.min(0.95, good + added);
  const successes = candidate.requests - candidate.errors;
  return (
    candidate.errors * Math.log(bad / good) +
    successes * Math.log((1 - bad) / (1 - good))
  );
}

/** The candidate's excess of mean log latency, and how much the cell tells of it. */
export interface Excess {
  readonly difference: number;
  /** Reciprocal of the difference's variance. */
  readonly precision: number;
}

/** Latencies of neighbouring requests are alike, so they tell less than independent ones. */
const DEPENDENCE_FACTOR = 1.5;

/**
 * Excess of the candidate; undefined when one of them has no successful request.
 *
 * @example
 * const excess = latencyExcess(cell, estimate.value());
 */
export function latencyExcess(
  {candidate, incumbent}: Cell,
  variance: number,
): Excess | undefined {
  const candidateCount = candidate.requests - candidate.errors;
  const incumbentCount = incumbent.requests - incumbent.errors;
  if (candidateCount <= 0 || incumbentCount <= 0) {
    return undefined;
  }
  const difference =
    candidate.logLatency / candidateCount -
    incumbent.logLatency / incumbentCount;
  const spread = 1 / candidateCount + 1 / incumbentCount;
  return {difference, precision: 1 / (DEPENDENCE_FACTOR * variance * spread)};
}

/**
 * Log-likelihood ratio of an excess of `worse` against one of `base`, in log latency.
 *
 * @example
 * // Evidence for half as much latency again against none.
 * const logRatio = excessRatio(excess, Math.log(1.5), 0);
 */
export function excessRatio(
  {difference, precision}: Excess,
  worse: number,
  base: number,
): number {
  const step = worse - base;
  return precision * step * (difference - base - step / 2);
}

/** Estimates the variance of a route's log latency within windows of the incumbent. */
export interface VarianceEstimate {
  add(sums: Sums): void;
  value(): number;
}

/** Assumed before anything is known, with the weight of this many requests. */
const PRIOR_VARIANCE = 0.36;
const PRIOR_WEIGHT = 10;

/** A service whose latency hardly varies must not turn microseconds into a fault. */
const LEAST_VARIANCE = 0.01;

/**
 * Makes the estimate of one route.
 *
 * @example
 * const estimate = createVarianceEstimate();
 * estimate.add(incumbentSums);
 */
export function createVarianceEstimate(): VarianceEstimate {
  let squares = PRIOR_VARIANCE * PRIOR_WEIGHT;
  let freedom = PRIOR_WEIGHT;
  return {
    add({requests, errors, logLatency, logLatencySquared}) {
      const count = requests - errors;
      if (count < 2) {
        return;
      }
      const within = logLatencySquared - (logLatency * logLatency) / count;
      squares += Math.max(0, within);
      freedom += count - 1;
    },
    value: () => Math.max(LEAST_VARIANCE, squares / freedom),
  };
}
