/** Expected milliseconds to the first token at an endpoint. */
import type {LoadEstimate} from './loadView.js';

/** How choices are weighed; see docs/DECISIONS/routing.md. */
export interface RouteWeights {
  /** Time of a token of a shared part that is thought to be computed again, relative to one that surely is; 1 when absent. */
  readonly rereadPart?: number;
  /** Weight of a token computed again relative to the time it takes: it also delays others. */
  readonly uncached: number;
  /** The same for tokens of a prefix that every endpoint serves: computing it pays for later requests. */
  readonly uncachedShared: number;
  /** Milliseconds that each request there adds, by slowing every step. */
  readonly perRequestMs: number;
  /** Milliseconds that each prompt token of the requests there adds: every step of an answer looks at all of them. */
  readonly perContextTokenMs: number;
  /** Milliseconds for computing a prompt token, before it was measured. */
  readonly initialMsPerToken: number;
  /** The same where it is known from elsewhere; nothing is learned here then. */
  readonly knownMsPerToken?: number;
  /** Milliseconds that the endpoint preferred by hash is favoured by when nothing is known. */
  readonly affinityMs: number;
  /** Part of the weighted cost of uncached tokens that the preferred endpoint is favoured by as well. */
  readonly affinityShare: number;
  /** Milliseconds that the own failure domain is favoured by: a hop, no more. */
  readonly ownDomainMs: number;
  /** Milliseconds of random spread, so that entries with one view do not choose alike. */
  readonly spreadMs: number;
}

export const defaultRouteWeights: RouteWeights = {
  uncached: 5,
  uncachedShared: 1,
  perRequestMs: 8,
  perContextTokenMs: 0,
  initialMsPerToken: 0.12,
  affinityMs: 100,
  affinityShare: 0.25,
  ownDomainMs: 2,
  spreadMs: 2,
};

const RATE_WEIGHT = 0.05;
const MIN_OBSERVED_TOKENS = 100;
const MIN_MS_PER_TOKEN = 0.001;
const MAX_MS_PER_TOKEN = 10;

export interface RouteCosts {
  /** Milliseconds until a request's first token, were it sent there now. */
  firstTokenMs(load: LoadEstimate, uncachedTokens: number): number;
  /** `favour` is from 0 to 1: how much the prefix belongs there. Milliseconds with the weight that tokens computed again have in a choice. */
  score(
    load: LoadEstimate,
    ownTokens: number,
    sharedTokens: number,
    favour: number,
  ): number;
  /** The first token came so long after so many tokens had to be computed. */
  observeFirstToken(tokens: number, tookMs: number): void;
  /** A request was there for so long. */
  observeStay(tookMs: number): void;
  dump(): unknown;
}

/**
 * Makes the costs of one service, learning from what is seen. The weights are
 * asked for at each use: they may follow what others learn.
 *
 * @example
 * const costs = createRouteCosts(() => defaultRouteWeights);
 */
export function createRouteCosts(weightsNow: () => RouteWeights): RouteCosts {
  let learnedMsPerToken = weightsNow().initialMsPerToken;
  let stayMs = 1500;

  function tokenMs(): number {
    return weightsNow().knownMsPerToken ?? learnedMsPerToken;
  }

  function waitMs(load: LoadEstimate): number {
    const weights = weightsNow();
    const msPerToken = tokenMs();
    const queued = Math.max(0, load.requests + 1 - load.slots);
    return (
      load.pendingTokens * msPerToken +
      (queued * stayMs) / load.slots +
      load.requests * weights.perRequestMs +
      load.contextTokens * weights.perContextTokenMs
    );
  }

  return {
    firstTokenMs: (load, uncachedTokens) =>
      waitMs(load) + uncachedTokens * tokenMs(),
    score(load, ownTokens, sharedTokens, favour) {
      const weights = weightsNow();
      const msPerToken = tokenMs();
      const ownMs = ownTokens * weights.uncached * msPerToken;
      const sharedMs = sharedTokens * weights.uncachedShared * msPerToken;
      const favourMs =
        favour * (weights.affinityMs + weights.affinityShare * ownMs);
      return waitMs(load) + ownMs + sharedMs - favourMs;
    },
    observeFirstToken(tokens, tookMs) {
      if (tokens < MIN_OBSERVED_TOKENS) {
        return;
      }
      const seen = Math.min(
        MAX_MS_PER_TOKEN,
        Math.max(MIN_MS_PER_TOKEN, tookMs / tokens),
      );
      learnedMsPerToken += (seen - learnedMsPerToken) * RATE_WEIGHT;
    },
    observeStay(tookMs) {
      stayMs += (tookMs - stayMs) * RATE_WEIGHT;
    },
    dump: () => ({msPerToken: tokenMs(), stayMs}),
  };
}
