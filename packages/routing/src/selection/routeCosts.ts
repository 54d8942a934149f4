/** Cost model that ranks endpoints, in milliseconds to the first token. */
import type {LoadEstimate} from './loadView.js';

/** Weights of the cost model; see docs/design/routing.md. */
export interface RouteWeights {
  /**
   * Share of the seemingly uncached shareable tokens that are in fact computed,
   * since the others prove to be cached; 1 when absent.
   */
  readonly recomputedTokenShare?: number;
  /**
   * Weight of the time of an uncached token, which also delays other requests.
   */
  readonly uncachedTokenWeight: number;
  /** Weight of the time of an uncached token that later requests reuse. */
  readonly uncachedSharedTokenWeight: number;
  /**
   * Milliseconds per request at the endpoint, as each slows every decode step.
   */
  readonly perRequestMs: number;
  /**
   * Milliseconds per prompt token of the requests at the endpoint, as each
   * decode step attends to all of them.
   */
  readonly perContextTokenMs: number;
  /** Initial estimate of the milliseconds to compute a prompt token. */
  readonly initialMsPerToken: number;
  /** Measured milliseconds per prompt token; replaces the learned estimate. */
  readonly knownMsPerToken?: number;
  /** Bonus in milliseconds for the endpoint preferred by prefix affinity. */
  readonly affinityMs: number;
  /** Additional affinity bonus, as a share of the cost of unshared tokens. */
  readonly affinityShare: number;
  /**
   * Penalty in ms for another failure domain, which is one network hop away.
   */
  readonly crossDomainMs: number;
  /**
   * Maximum random penalty in milliseconds, so that entries choose differently.
   */
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
/** Minimum computed tokens for a sample of the time per token. */
const MIN_OBSERVED_TOKENS = 100;
const MIN_MS_PER_TOKEN = 0.001;
const MAX_MS_PER_TOKEN = 10;

/** Cost model of one service. */
export interface RouteCosts {
  /**
   * Returns the expected milliseconds to the first token of a request sent now
   * if the endpoint's host were not slow.
   */
  expectedFirstTokenMs(load: LoadEstimate, uncachedTokens: number): number;
  /**
   * Returns the cost of an endpoint in weighted ms; `affinity` is 0 to 1.
   * `hasPrompt` is false for a call, whose first byte comes with its response.
   */
  score(
    load: LoadEstimate,
    unsharedTokens: number,
    sharedTokens: number,
    affinity: number,
    hasPrompt: boolean,
  ): number;
  /**
   * Records that the first token arrived after `firstTokenMs`, in which the
   * endpoint computed `tokens` prompt tokens.
   */
  recordFirstToken(tokens: number, firstTokenMs: number): void;
  /** Records the total duration of a request at an endpoint. */
  recordDuration(durationMs: number): void;
  dump(): unknown;
}

/**
 * Creates the cost model of one service, which learns from recorded times. The
 * weights are read at each use, since a configuration update may change them.
 *
 * @example
 * const costs = createRouteCosts(() => defaultRouteWeights);
 */
export function createRouteCosts(getWeights: () => RouteWeights): RouteCosts {
  let learnedMsPerToken = getWeights().initialMsPerToken;
  let averageDurationMs = 1500;

  function msPerTokenOf({knownMsPerToken}: RouteWeights): number {
    return knownMsPerToken ?? learnedMsPerToken;
  }

  /**
   * Returns the time that the slowness of the endpoint's host adds. The time of
   * a call itself, which is equal at all other endpoints, counts here only.
   */
  function slownessMs(
    {slowness}: LoadEstimate,
    usualMs: number,
    hasPrompt: boolean,
  ): number {
    const responseMs = hasPrompt ? 0 : averageDurationMs;
    return (slowness - 1) * (usualMs + responseMs);
  }

  function waitMs(load: LoadEstimate, weights: RouteWeights): number {
    const queuedRequests = Math.max(0, load.requests + 1 - load.slots);
    return (
      load.pendingTokens * msPerTokenOf(weights) +
      (queuedRequests * averageDurationMs) / load.slots +
      load.requests * weights.perRequestMs +
      load.contextTokens * weights.perContextTokenMs
    );
  }

  return {
    expectedFirstTokenMs(load, uncachedTokens) {
      const weights = getWeights();
      return waitMs(load, weights) + uncachedTokens * msPerTokenOf(weights);
    },
    score(load, unsharedTokens, sharedTokens, affinity, hasPrompt) {
      const weights = getWeights();
      const msPerToken = msPerTokenOf(weights);
      const unsharedMs =
        unsharedTokens * weights.uncachedTokenWeight * msPerToken;
      const sharedMs =
        sharedTokens * weights.uncachedSharedTokenWeight * msPerToken;
      const affinityMs =
        affinity * (weights.affinityMs + weights.affinityShare * unsharedMs);
      const usualMs = waitMs(load, weights) + unsharedMs + sharedMs;
      return usualMs + slownessMs(load, usualMs, hasPrompt) - affinityMs;
    },
    recordFirstToken(tokens, firstTokenMs) {
      if (tokens < MIN_OBSERVED_TOKENS) {
        return;
      }
      const sample = Math.min(
        MAX_MS_PER_TOKEN,
        Math.max(MIN_MS_PER_TOKEN, firstTokenMs / tokens),
      );
      learnedMsPerToken += (sample - learnedMsPerToken) * SMOOTHING_FACTOR;
    },
    recordDuration(durationMs) {
      averageDurationMs += (durationMs - averageDurationMs) * SMOOTHING_FACTOR;
    },
    dump: () => ({
      msPerToken: msPerTokenOf(getWeights()),
      stayMs: averageDurationMs,
    }),
  };
}
