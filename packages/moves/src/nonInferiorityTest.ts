/**
 * Test that a candidate is not inferior: accumulates, per route, the evidence
 * against the candidate being bad. The absence of a detected fault alone does
 * not pass it.
 */
import {
  addedErrorLogLikelihoodRatio,
  createVarianceEstimator,
  errorLogLikelihoodRatio,
  latencyLogLikelihoodRatio,
  latencyExcess,
  type VarianceEstimator,
} from './likelihoodRatios.js';
import type {RouteProof} from './contracts.js';
import type {Stratum} from './evidence.js';
import {logAddExp} from './sequentialTest.js';

/**
 * Hypothesis tested against: a gross fault, any fault present from the start
 * (`steady`), or any fault including one of later onset (`full`).
 */
export type Hypothesis = 'gross' | 'steady' | 'full';

export interface NonInferiorityTest {
  add(strata: readonly Stratum[]): void;
  /**
   * Returns the log-odds, without a prior, that the candidate is good on all
   * idempotent or all non-idempotent routes; minus infinity without requests.
   */
  logOdds(hypothesis: Hypothesis, isOrder: boolean): number;
  /** Whether the (non-)idempotent routes had requests of either version. */
  hasTraffic(isOrder: boolean): boolean;
  /** Returns the strongest evidence against the candidate, for the operator. */
  worstRouteReason(): string;
  routes(): readonly RouteProof[];
}

/** Error factors and log latency excess from which a version is bad. */
const BAD_ERROR_FACTOR = 2;
const GROSS_ERROR_FACTOR = 3;
const BAD_LATENCY_EXCESS = Math.log(1.5);

/** Increase of the error rate below which no factor makes a version bad. */
const BAD_ADDED_ERROR_RATE = 0.002;

/** Routes below 1/8 of the requests weigh in proportion to their share. */
const FULL_WEIGHT_SHARE = 1 / 8;

/** Prior of the incumbent's error rate, as pseudo-counts. */
const RATE_PRIOR_REQUESTS = 50;
const RATE_PRIOR_ERRORS = 0.5;

/** Prior log-odds against a late onset; offsets the maximum over onsets. */
const LATE_FAULT_LOG_ODDS = 7;

type Mutable<T> = {-readonly [K in keyof T]: T[K]};

interface RouteEvidence {
  readonly proof: Mutable<RouteProof>;
  readonly varianceEstimator: VarianceEstimator;
  incumbentRequests: number;
  incumbentErrors: number;
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
  const routes = new Map<string, RouteEvidence>();
  for (const proof of storedProofs) {
    routes.set(proof.route, createRouteEvidence(proof));
  }

  function evidenceFor({route, isOrder}: Stratum): RouteEvidence {
    let evidence = routes.get(route);
    if (evidence === undefined) {
      evidence = createRouteEvidence({
        route,
        isOrder,
        requests: 0,
        candidateRequests: 0,
        errorsTwice: 0,
        errorsThrice: 0,
        errorsAdded: 0,
        slower: 0,
        recentFault: 0,
      });
      routes.set(route, evidence);
    }
    return evidence;
  }

  function proofsOf(isOrder: boolean): RouteProof[] {
    return [...routes.values()]
      .map(({proof}) => proof)
      .filter(proof => proof.isOrder === isOrder);
  }

  return {
    add(strata) {
      for (const stratum of strata) {
        addStratum(evidenceFor(stratum), stratum);
      }
    },
    logOdds(hypothesis, isOrder) {
      const proofs = proofsOf(isOrder);
      const totalRequests = proofs.reduce(
        (sum, {requests}) => sum + requests,
        0,
      );
      if (totalRequests === 0) {
        return -Infinity;
      }
      let logOddsBad = -Infinity;
      for (const proof of proofs) {
        const weight = proof.requests / totalRequests / FULL_WEIGHT_SHARE;
        const logOdds = routeLogOdds(proof, hypothesis);
        logOddsBad = logAddExp(
          logOddsBad,
          Math.log(Math.min(1, weight)) - logOdds,
        );
      }
      return -logOddsBad;
    },
    hasTraffic: isOrder => proofsOf(isOrder).some(({requests}) => requests > 0),
    worstRouteReason() {
      const [proof] = [...routes.values()]
        .map(evidence => evidence.proof)
        .sort((a, b) => routeLogOdds(a, 'steady') - routeLogOdds(b, 'steady'));
      if (proof === undefined) {
        return 'no evidence';
      }
      const isSlow = proof.slower < errorLogOdds(proof, 'steady');
      const symptom = isSlow ? 'higher latency' : 'more errors';
      return `${symptom} than the incumbent on ${proof.route}`;
    },
    routes: () => [...routes.values()].map(({proof}) => ({...proof})),
  };
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

/** A bad rate exceeds factor and added rate; excluding either is enough. */
function errorLogOdds(proof: RouteProof, hypothesis: Hypothesis): number {
  const factorLogOdds =
    hypothesis === 'gross' ? proof.errorsThrice : proof.errorsTwice;
  return Math.max(factorLogOdds, proof.errorsAdded);
}

/** Returns the log-odds that the candidate is good on one route. */
function routeLogOdds(proof: RouteProof, hypothesis: Hypothesis): number {
  const steadyLogOdds = -logAddExp(
    -errorLogOdds(proof, hypothesis),
    -proof.slower,
  );
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
    (evidence.incumbentErrors + RATE_PRIOR_ERRORS) /
    (evidence.incumbentRequests + RATE_PRIOR_REQUESTS);
  proof.errorsAdded -= addedErrorLogLikelihoodRatio(
    stratum,
    incumbentErrorRate,
    BAD_ADDED_ERROR_RATE,
  );
  evidence.errorCusum = Math.max(0, evidence.errorCusum + errorLogRatio);
  const excess = latencyExcess(stratum, varianceEstimator.value());
  if (excess !== undefined) {
    const latencyLogRatio = latencyLogLikelihoodRatio(
      excess,
      BAD_LATENCY_EXCESS,
      0,
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
