/** Cost model of routing, in milliseconds to the first token. */
import type {LoadEstimate} from './loadView.js';

/** Weights of the cost model; see docs/DECISIONS/routing.md. */
export interface RouteWeights {
  /**
   * Share of the shareable, apparently uncached tokens that are expected to be
   * computed; 1 when absent.
   */
  readonly recomputedTokenShare?: number;
  /** Weight of an uncached token's time, which delays other requests too. */
  readonly uncachedTokenWeight: number;
  /** Weight for tokens of a shared prefix, which later requests reuse. */
  readonly uncachedSharedTokenWeight: number;
  /** Milliseconds per request at the endpoint: each slows every step. */
  readonly perRequestMs: number;
  /** Milliseconds per prompt token at the endpoint: steps attend to all. */
  readonly perContextTokenMs: number;
  /** Initial estimate of the milliseconds to compute a prompt token. */
  readonly initialMsPerToken: number;
  /** Known milliseconds per prompt token; replaces the learned estimate. */
  readonly knownMsPerToken?: number;
  /** Bonus in milliseconds for the endpoint preferred by prefix affinity. */
  readonly affinityMs: number;
  /** Additional bonus, as a share of the weighted uncached cost. */
  readonly affinityShare: number;
  /** Penalty for another failure domain, in milliseconds: one network hop. */
  readonly crossDomainMs: number;
  /** Random jitter in milliseconds, so that entries choose differently. */
  readonly jitterMs: number;
}

export const defaultRouteWeights: RouteWeights = {
  uncachedTokenWeight: 5,
  uncachedSharedTokenWeight: 1,
  perRequestMs: 8,
  perContextTokenMs: 0,
  initialMsPerToken: 0.12,
  affinityMs: 100,
  affinityShare: 0.25,
  crossDomainMs: 2,
  jitterMs: 2,
};

/** Weight of the newest sample in the moving averages. */
const SMOOTHING_FACTOR = 0.05;
const MIN_OBSERVED_TOKENS = 100;
const MIN_MS_PER_TOKEN = 0.001;
const MAX_MS_PER_TOKEN = 10;

export interface RouteCosts {
  /** Expected milliseconds to the first token of a request sent now. */
  expectedFirstTokenMs(load: LoadEstimate, uncachedTokens: number): number;
  /** Cost in weighted milliseconds; `affinity` is from 0 to 1. */
  score(
    load: LoadEstimate,
    unsharedTokens: number,
    sharedTokens: number,
    affinity: number,
  ): number;
  /** Learns the time per token from the time to the first token. */
  observeFirstToken(tokens: number, tookMs: number): void;
  /** Learns from the total duration of a request at the endpoint. */
  observeDuration(tookMs: number): void;
  dump(): unknown;
}

/**
 * Creates the cost model of one service, which learns from observations. The
 * weights are read at each use, since they may be updated from outside.
 *
 * @example
 * const costs = createRouteCosts(() => defaultRouteWeights);
 */
export function createRouteCosts(getWeights: () => RouteWeights): RouteCosts {
  let learnedMsPerToken = getWeights().initialMsPerToken;
  let durationMs = 1500;

  function currentMsPerToken(): number {
    return getWeights().knownMsPerToken ?? learnedMsPerToken;
  }

  function waitMs(load: LoadEstimate): number {
    const weights = getWeights();
    const msPerToken = currentMsPerToken();
    const queuedRequests = Math.max(0, load.requests + 1 - load.slots);
    return (
      load.pendingTokens * msPerToken +
      (queuedRequests * durationMs) / load.slots +
      load.requests * weights.perRequestMs +
      load.contextTokens * weights.perContextTokenMs
    );
  }

  return {
    expectedFirstTokenMs: (load, uncachedTokens) =>
      waitMs(load) + uncachedTokens * currentMsPerToken(),
    score(load, unsharedTokens, sharedTokens, affinity) {
      const weights = getWeights();
      const msPerToken = currentMsPerToken();
      const unsharedMs =
        unsharedTokens * weights.uncachedTokenWeight * msPerToken;
      const sharedMs =
        sharedTokens * weights.uncachedSharedTokenWeight * msPerToken;
      const affinityMs =
        affinity * (weights.affinityMs + weights.affinityShare * unsharedMs);
      return waitMs(load) + unsharedMs + sharedMs - affinityMs;
    },
    observeFirstToken(tokens, tookMs) {
      if (tokens < MIN_OBSERVED_TOKENS) {
        return;
      }
      const sample = Math.min(
        MAX_MS_PER_TOKEN,
        Math.max(MIN_MS_PER_TOKEN, tookMs / tokens),
      );
      learnedMsPerToken += (sample - learnedMsPerToken) * SMOOTHING_FACTOR;
    },
    observeDuration(tookMs) {
      durationMs += (tookMs - durationMs) * SMOOTHING_FACTOR;
    },
    dump: () => ({msPerToken: currentMsPerToken(), stayMs: durationMs}),
  };
}
