/**
 * Log-likelihood ratios of one stratum: the alternative hypothesis "the
 * candidate is worse by a given factor" against a null hypothesis.
 *
 * Errors are compared conditionally on the total number of errors of both
 * versions. The common error rate cancels out, so a fault that affects both
 * versions, or an incumbent with errors of its own, does not count against the
 * candidate.
 *
 * Latency is compared by the difference of the mean log latencies in the same
 * window, so a slowdown of both versions cancels out too.
 */
import type {Stratum, RequestStats} from './evidence.js';

/**
 * Returns the log-likelihood ratio of two hypotheses about the candidate's
 * error rate: `alternativeFactor` times the incumbent's rate, against
 * `nullFactor` times the incumbent's rate.
 *
 * @example
 * // Twice the incumbent's error rate against the same error rate.
 * const logRatio = errorLogLikelihoodRatio(stratum, 2, 1);
 */
export function errorLogLikelihoodRatio(
  {candidate, incumbent}: Stratum,
  alternativeFactor: number,
  nullFactor: number,
): number {
  const alternativeShare = expectedCandidateErrorShare(
    candidate,
    incumbent,
    alternativeFactor,
  );
  const nullShare = expectedCandidateErrorShare(
    candidate,
    incumbent,
    nullFactor,
  );
  return (
    candidate.errors * Math.log(alternativeShare / nullShare) +
    incumbent.errors * Math.log((1 - alternativeShare) / (1 - nullShare))
  );
}

/**
 * Returns the candidate's expected share of all errors if its error rate is
 * `factor` times the incumbent's.
 */
function expectedCandidateErrorShare(
  candidate: RequestStats,
  incumbent: RequestStats,
  factor: number,
): number {
  const weightedRequests = factor * candidate.requests;
  return weightedRequests / (weightedRequests + incumbent.requests);
}

/**
 * Returns the log-likelihood ratio of two hypotheses about the candidate's
 * error rate: `baseRate + addedRate`, against `baseRate`.
 *
 * @example
 * // 0.2 percentage points above a base rate of 0.1 %.
 * const logRatio = addedErrorLogLikelihoodRatio(stratum, 0.001, 0.002);
 */
export function addedErrorLogLikelihoodRatio(
  {candidate}: Stratum,
  baseRate: number,
  addedRate: number,
): number {
  const nullRate = Math.min(0.9, Math.max(baseRate, 1e-6));
  const alternativeRate = Math.min(0.95, nullRate + addedRate);
  const successes = candidate.requests - candidate.errors;
  return (
    candidate.errors * Math.log(alternativeRate / nullRate) +
    successes * Math.log((1 - alternativeRate) / (1 - nullRate))
  );
}

/** Estimate of how much higher the candidate's log latency is. */
export interface LatencyExcess {
  /** Mean log latency of the candidate minus the incumbent's. */
  readonly difference: number;
  /** Reciprocal of the variance of `difference`. */
  readonly precision: number;
}

/**
 * Factor on the variance of a mean, since latencies of neighbouring requests
 * are correlated.
 */
const VARIANCE_INFLATION_FACTOR = 1.5;

/**
 * Returns the candidate's latency excess; undefined when either version has no
 * successful request.
 *
 * @example
 * const excess = latencyExcess(stratum, varianceEstimator.value());
 */
export function latencyExcess(
  {candidate, incumbent}: Stratum,
  variance: number,
): LatencyExcess | undefined {
  const candidateCount = candidate.requests - candidate.errors;
  const incumbentCount = incumbent.requests - incumbent.errors;
  if (candidateCount <= 0 || incumbentCount <= 0) {
    return undefined;
  }
  const difference =
    candidate.logLatency / candidateCount -
    incumbent.logLatency / incumbentCount;
  const reciprocalCounts = 1 / candidateCount + 1 / incumbentCount;
  return {
    difference,
    precision: 1 / (VARIANCE_INFLATION_FACTOR * variance * reciprocalCounts),
  };
}

/**
 * Returns the log-likelihood ratio of two hypotheses about the candidate's true
 * excess of log latency: `alternativeExcess`, against `nullExcess`.
 *
 * @example
 * // 1.5 times the incumbent's latency against the same latency.
 * const logRatio = latencyLogLikelihoodRatio(excess, Math.log(1.5), 0);
 */
export function latencyLogLikelihoodRatio(
  {difference, precision}: LatencyExcess,
  alternativeExcess: number,
  nullExcess: number,
): number {
  const excessDifference = alternativeExcess - nullExcess;
  return (
    precision *
    excessDifference *
    (difference - nullExcess - excessDifference / 2)
  );
}

/**
 * Estimates the variance of a route's log latency from the incumbent's
 * requests. Only differences within a window count.
 */
export interface VarianceEstimator {
  add(stats: RequestStats): void;
  value(): number;
}

/**
 * Prior of the log latency variance, and the number of requests that the prior
 * weighs as much as.
 */
const PRIOR_VARIANCE = 0.36;
const PRIOR_REQUESTS = 10;

/**
 * Lower bound of the variance. At near-constant latency, a difference of
 * microseconds would count as a fault without this bound.
 */
const MIN_VARIANCE = 0.01;

/**
 * Creates the variance estimator of one route.
 *
 * @example
 * const estimator = createVarianceEstimator();
 * estimator.add(stratum.incumbent);
 */
export function createVarianceEstimator(): VarianceEstimator {
  let sumOfSquares = PRIOR_VARIANCE * PRIOR_REQUESTS;
  let degreesOfFreedom = PRIOR_REQUESTS;
  return {
    add({requests, errors, logLatency, logLatencySquared}) {
      const successCount = requests - errors;
      if (successCount < 2) {
        return;
      }
      const squaresWithinWindow =
        logLatencySquared - (logLatency * logLatency) / successCount;
      sumOfSquares += Math.max(0, squaresWithinWindow);
      degreesOfFreedom += successCount - 1;
    },
    value: () => Math.max(MIN_VARIANCE, sumOfSquares / degreesOfFreedom),
  };
}
