/**
 * Test that a candidate is not inferior to the incumbent: accumulates, per
 * route, the evidence that the candidate is not bad. The absence of a detected
 * fault alone does not pass the test.
 */
import {
  addedErrorLogLikelihoodRatio,
  createVarianceEstimator,
  errorLogLikelihoodRatio,
  latencyLogLikelihoodRatio,
  latencyExcess,
  type VarianceEstimator,
} from './likelihoodRatios.js';
import type {EvidenceMeasure} from '@skylarkfield/protocol';
import type {RouteProof} from './contracts.js';
import type {Stratum} from './evidence.js';
import {logAddExp} from './sequentialTest.js';

/**
 * Hypothesis that the evidence is to exclude: a gross fault, any fault present
 * from the start (`steady`), or any fault including a fault of later onset
 * (`full`).
 */
export type Hypothesis = 'gross' | 'steady' | 'full';

export interface NonInferiorityTest {
  add(strata: readonly Stratum[]): void;
  /**
   * Returns the log-odds, without a prior, that the candidate is good on all
   * idempotent or all non-idempotent routes; minus infinity without requests.
   */
  logOdds(hypothesis: Hypothesis, isOrder: boolean): number;
  /**
   * Returns whether the idempotent or, if `isOrder`, the non-idempotent routes
   * had requests of either version.
   */
  hasTraffic(isOrder: boolean): boolean;
  /** Describes the strongest evidence against the candidate, for operators. */
  describeWorstRoute(): string;
  /** Returns the evidence of each route, to be stored in the move's state. */
  proofs(): readonly RouteProof[];
}

/**
 * Thresholds from which a version is bad or has a gross fault: ratio of its
 * error rate to the incumbent's, and excess of its mean log latency over the
 * incumbent's.
 */
const BAD_ERROR_FACTOR = 2;
const GROSS_ERROR_FACTOR = 3;
const BAD_LATENCY_EXCESS: Readonly<Record<EvidenceMeasure, number>> = {
  requests: Math.log(1.5),
  // The interval depends on the host, and a candidate may run on few hosts.
  eventInterval: Math.log(2),
};

/**
 * Upper bound of the evidence of one window against a candidate's intervals. A
 * pause of one entry or host spans one or two windows, and the variance that is
 * estimated from the streams without a pause is small.
 */
const MAX_INTERVAL_LOG_RATIO_PER_WINDOW = 4;

/**
 * Increase of the error rate over the incumbent's up to which a version is not
 * bad, however large the ratio of the rates.
 */
const BAD_ADDED_ERROR_RATE = 0.002;

/**
 * Share of the requests from which a route has full weight. The weight of a
 * route is `min(1, share / FULL_WEIGHT_SHARE)`.
 */
const FULL_WEIGHT_SHARE = 1 / 8;

/** Prior of the incumbent's error rate: pseudo-counts of requests, errors. */
const ERROR_RATE_PRIOR_REQUESTS = 50;
const ERROR_RATE_PRIOR_ERRORS = 0.5;

/**
 * Prior log-odds against a fault of late onset; compensates for taking the
 * maximum over all onset times.
 */
const LATE_FAULT_LOG_ODDS = 7;

type Mutable<T> = {-readonly [K in keyof T]: T[K]};

interface RouteEvidence {
  readonly proof: Mutable<RouteProof>;
  readonly varianceEstimator: VarianceEstimator;
  incumbentRequests: number;
  incumbentErrors: number;
  /** Cumulative log-likelihood ratios (CUSUM), reset to 0 when negative. */
  errorCusum: number;
  latencyCusum: number;
}

/**
 * Creates a test that continues from the evidence in the move's stored state.
 *
 * @example
 * const test = createNonInferiorityTest(state?.proof ?? []);
 */
export function createNonInferiorityTest(
  storedProofs: readonly RouteProof[],
): NonInferiorityTest {
  const routeEvidence = new Map<string, RouteEvidence>();
  for (const proof of storedProofs) {
    routeEvidence.set(proof.route, createRouteEvidence(proof));
  }

  function getOrCreateRouteEvidence({
    route,
    isOrder,
    measure,
  }: Stratum): RouteEvidence {
    let evidence = routeEvidence.get(route);
    if (evidence === undefined) {
      evidence = createRouteEvidence({
        route,
        isOrder,
        ...(measure === 'eventInterval' && {measure}),
        requests: 0,
        candidateRequests: 0,
        errorsTwice: 0,
        errorsThrice: 0,
        errorsAdded: 0,
        slower: 0,
        recentFault: 0,
      });
      routeEvidence.set(route, evidence);
    }
    return evidence;
  }

  function filterProofs(isOrder: boolean): RouteProof[] {
    return [...routeEvidence.values()]
      .map(({proof}) => proof)
      .filter(proof => proof.isOrder === isOrder);
  }

  return {
    add(strata) {
      for (const stratum of strata) {
        addStratum(getOrCreateRouteEvidence(stratum), stratum);
      }
    },
    logOdds(hypothesis, isOrder) {
      const proofs = filterProofs(isOrder);
      const totals = {
        requests: countRequests(proofs, 'requests'),
        eventInterval: countRequests(proofs, 'eventInterval'),
      };
      if (totals.requests === 0) {
        return -Infinity;
      }
      let logOddsBad = -Infinity;
      for (const proof of proofs) {
        const weight =
          proof.requests / totals[measureOf(proof)] / FULL_WEIGHT_SHARE;
        const logOdds = routeLogOdds(proof, hypothesis);
        logOddsBad = logAddExp(
          logOddsBad,
          Math.log(Math.min(1, weight)) - logOdds,
        );
      }
      return -logOddsBad;
    },
    hasTraffic: isOrder => countRequests(filterProofs(isOrder), 'requests') > 0,
    describeWorstRoute() {
      const [proof] = [...routeEvidence.values()]
        .map(evidence => evidence.proof)
        .sort((a, b) => routeLogOdds(a, 'steady') - routeLogOdds(b, 'steady'));
      if (proof === undefined) {
        return 'no evidence';
      }
      const isSlow =
        measureOf(proof) === 'eventInterval' ||
        proof.slower < errorLogOdds(proof, 'steady');
      const symptom = isSlow ? 'higher latency' : 'more errors';
      return `${symptom} than the incumbent on ${proof.route}`;
    },
    proofs: () => [...routeEvidence.values()].map(({proof}) => ({...proof})),
  };
}

function measureOf({measure = 'requests'}: RouteProof): EvidenceMeasure {
  return measure;
}

function countRequests(
  proofs: readonly RouteProof[],
  measure: EvidenceMeasure,
): number {
  return proofs
    .filter(proof => measureOf(proof) === measure)
    .reduce((sum, {requests}) => sum + requests, 0);
}

function createRouteEvidence(proof: RouteProof): RouteEvidence {
  return {
    proof: {...proof},
    varianceEstimator: createVarianceEstimator(),
    incumbentRequests: 0,
    incumbentErrors: 0,
    errorCusum: proof.recentFault,
    latencyCusum: 0,
  };
}

/**
 * Returns the log-odds that the error rate is good. A bad rate exceeds both the
 * factor and the added rate, so it is enough to exclude either of them.
 */
function errorLogOdds(proof: RouteProof, hypothesis: Hypothesis): number {
  const factorLogOdds =
    hypothesis === 'gross' ? proof.errorsThrice : proof.errorsTwice;
  return Math.max(factorLogOdds, proof.errorsAdded);
}

/**
 * Returns the log-odds that the candidate has no fault from the start on one
 * route. Event intervals tell nothing about errors.
 */
function steadyRouteLogOdds(proof: RouteProof, hypothesis: Hypothesis): number {
  return measureOf(proof) === 'eventInterval'
    ? proof.slower
    : -logAddExp(-errorLogOdds(proof, hypothesis), -proof.slower);
}

/** Returns the log-odds that the candidate is good on one route. */
function routeLogOdds(proof: RouteProof, hypothesis: Hypothesis): number {
  const steadyLogOdds = steadyRouteLogOdds(proof, hypothesis);
  if (hypothesis !== 'full') {
    return steadyLogOdds;
  }
  return -logAddExp(-steadyLogOdds, proof.recentFault - LATE_FAULT_LOG_ODDS);
}

function addStratum(evidence: RouteEvidence, stratum: Stratum) {
  const {proof, varianceEstimator} = evidence;
  const {candidate, incumbent} = stratum;
  proof.requests += candidate.requests + incumbent.requests;
  proof.candidateRequests += candidate.requests;
  const errorLogRatio = errorLogLikelihoodRatio(stratum, BAD_ERROR_FACTOR, 1);
  proof.errorsTwice -= errorLogRatio;
  proof.errorsThrice -= errorLogLikelihoodRatio(stratum, GROSS_ERROR_FACTOR, 1);
  evidence.incumbentRequests += incumbent.requests;
  evidence.incumbentErrors += incumbent.errors;
  const incumbentErrorRate =
    (evidence.incumbentErrors + ERROR_RATE_PRIOR_ERRORS) /
    (evidence.incumbentRequests + ERROR_RATE_PRIOR_REQUESTS);
  proof.errorsAdded -= addedErrorLogLikelihoodRatio(
    stratum,
    incumbentErrorRate,
    BAD_ADDED_ERROR_RATE,
  );
  evidence.errorCusum = Math.max(0, evidence.errorCusum + errorLogRatio);
  const excess = latencyExcess(stratum, varianceEstimator.value());
  if (excess !== undefined) {
    const latencyLogRatio = Math.min(
      latencyLogLikelihoodRatio(excess, BAD_LATENCY_EXCESS[stratum.measure], 0),
      stratum.measure === 'eventInterval'
        ? MAX_INTERVAL_LOG_RATIO_PER_WINDOW
        : Infinity,
    );
    proof.slower -= latencyLogRatio;
    evidence.latencyCusum = Math.max(
      0,
      evidence.latencyCusum + latencyLogRatio,
    );
  }
  varianceEstimator.add(incumbent);
  proof.recentFault = Math.max(evidence.errorCusum, evidence.latencyCusum);
}
