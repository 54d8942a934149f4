/**
 * What shows that a candidate is good: for each route the evidence against its
 * being bad. A version that was merely never caught is not proven.
 */
import {
  addedErrorRatio,
  createVarianceEstimate,
  errorRatio,
  excessRatio,
  latencyExcess,
  type VarianceEstimate,
} from './comparison.js';
import type {RouteProof} from './contracts.js';
import type {Cell} from './evidence.js';
import {addLogs} from './sequentialTest.js';

/**
 * Evidence asked for: against gross faults, against all that count as bad and
 * were there from the start, or against those that came later too.
 */
export type Strictness = 'gross' | 'steady' | 'full';

export interface Proof {
  add(cells: readonly Cell[]): void;
  /**
   * Log-odds that the candidate is good on all routes of the track, by the
   * evidence alone; minus infinity when the track had no request.
   */
  logOdds(strictness: Strictness, isOrder: boolean): number;
  /** Whether any request of the track was seen, of either version. */
  hasTraffic(isOrder: boolean): boolean;
  /** What speaks most against the candidate, for the operator. */
  worst(): string;
  routes(): readonly RouteProof[];
}

/** A version is bad if it has this many times the errors, or is this much slower. */
const TWICE = 2;
const THRICE = 3;
const BAD_EXCESS = Math.log(1.5);

/** On a route that hardly fails, a rise of the error rate below this does not matter. */
const ADDED_ERROR_RATE = 0.002;

/** A route with at least 1/8 of its track's requests counts in full, a rarer one in proportion. */
const FULL_WEIGHT_PART = 1 / 8;

/** A rate from few requests is uncertain; these are assumed beside them. */
const RATE_PRIOR_REQUESTS = 50;
const RATE_PRIOR_ERRORS = 0.5;

/** Log-odds against a fault having begun just when chance makes it look so. */
const LATE_FAULT_ODDS = 7;

type Mutable<T> = {-readonly [K in keyof T]: T[K]};

interface RouteState {
  readonly proof: Mutable<RouteProof>;
  readonly variance: VarianceEstimate;
  incumbentRequests: number;
  incumbentErrors: number;
  recentErrors: number;
  recentSlowness: number;
}

/**
 * Makes a proof, going on from one that an earlier holder wrote down.
 *
 * @example
 * const proof = createProof(state?.proof ?? []);
 */
export function createProof(earlier: readonly RouteProof[]): Proof {
  const routes = new Map<string, RouteState>();
  for (const proof of earlier) {
    routes.set(proof.route, createRouteState(proof));
  }

  function routeFor({route, isOrder}: Cell): RouteState {
    let state = routes.get(route);
    if (state === undefined) {
      state = createRouteState({
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
      routes.set(route, state);
    }
    return state;
  }

  function ofTrack(isOrder: boolean): RouteProof[] {
    return [...routes.values()]
      .map(({proof}) => proof)
      .filter(proof => proof.isOrder === isOrder);
  }

  return {
    add(cells) {
      for (const cell of cells) {
        addCell(routeFor(cell), cell);
      }
    },
    logOdds(strictness, isOrder) {
      const track = ofTrack(isOrder);
      const all = track.reduce((sum, {requests}) => sum + requests, 0);
      if (all === 0) {
        return -Infinity;
      }
      let logBad = -Infinity;
      for (const proof of track) {
        const part = proof.requests / all / FULL_WEIGHT_PART;
        const odds = routeOdds(proof, strictness);
        logBad = addLogs(logBad, Math.log(Math.min(1, part)) - odds);
      }
      return -logBad;
    },
    hasTraffic: isOrder => ofTrack(isOrder).some(({requests}) => requests > 0),
    worst() {
      const [proof] = [...routes.values()]
        .map(state => state.proof)
        .sort((a, b) => routeOdds(a, 'steady') - routeOdds(b, 'steady'));
      if (proof === undefined) {
        return 'no evidence';
      }
      const isSlow = proof.slower < errorOdds(proof, 'steady');
      const what = isSlow ? 'slower answers' : 'more errors';
      return `${what} than the incumbent on ${proof.route}`;
    },
    routes: () => [...routes.values()].map(({proof}) => ({...proof})),
  };
}

function createRouteState(proof: RouteProof): RouteState {
  return {
    proof: {...proof},
    variance: createVarianceEstimate(),
    incumbentRequests: 0,
    incumbentErrors: 0,
    recentErrors: proof.recentFault,
    recentSlowness: 0,
  };
}

/** Bad means both many times the errors and a rise that matters: excluding either will do. */
function errorOdds(proof: RouteProof, strictness: Strictness): number {
  const byFactor =
    strictness === 'gross' ? proof.errorsThrice : proof.errorsTwice;
  return Math.max(byFactor, proof.errorsAdded);
}

/** Log-odds of good against bad on one route. */
function routeOdds(proof: RouteProof, strictness: Strictness): number {
  const steady = -addLogs(-errorOdds(proof, strictness), -proof.slower);
  if (strictness !== 'full') {
    return steady;
  }
  return -addLogs(-steady, proof.recentFault - LATE_FAULT_ODDS);
}

function addCell(state: RouteState, cell: Cell) {
  const {proof, variance} = state;
  const {candidate, incumbent} = cell;
  proof.requests += candidate.requests + incumbent.requests;
  proof.candidateRequests += candidate.requests;
  const twice = errorRatio(cell, TWICE, 1);
  proof.errorsTwice -= twice;
  proof.errorsThrice -= errorRatio(cell, THRICE, 1);
  state.incumbentRequests += incumbent.requests;
  state.incumbentErrors += incumbent.errors;
  const rate =
    (state.incumbentErrors + RATE_PRIOR_ERRORS) /
    (state.incumbentRequests + RATE_PRIOR_REQUESTS);
  proof.errorsAdded -= addedErrorRatio(cell, rate, ADDED_ERROR_RATE);
  state.recentErrors = Math.max(0, state.recentErrors + twice);
  const excess = latencyExcess(cell, variance.value());
  if (excess !== undefined) {
    const slower = excessRatio(excess, BAD_EXCESS, 0);
    proof.slower -= slower;
    state.recentSlowness = Math.max(0, state.recentSlowness + slower);
  }
  variance.add(incumbent);
  proof.recentFault = Math.max(state.recentErrors, state.recentSlowness);
}
