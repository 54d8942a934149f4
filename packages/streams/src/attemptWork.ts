/** What one attempt computed and when: the source of recomputed tokens and prefill rates. */
import type {Clock} from '@skylarkfield/base';
import type {MoveCosts} from './moveCosts.js';
import type {Progress} from './progress.js';

/** Counts and times of one attempt; adds what it recomputes to the request's progress. */
export interface AttemptWork {
  /** True once the engine has told that it began. */
  readonly isStartSeen: boolean;
  /** True once a token of this attempt has come. */
  readonly hasToken: boolean;
  /** Milliseconds from the attempt's begin to its first token, or to now before that. */
  latencyMs(): number;
  /** Counts the tokens to compute, as the engine tells them; only the first call counts. */
  started(event: {
    readonly promptTokens: number;
    readonly cachedTokens: number;
  }): void;
  /** The first token has come; at most once. */
  firstToken(): void;
}

export interface AttemptWorkOptions {
  readonly clock: Clock;
  readonly costs: MoveCosts;
  readonly progress: Progress;
  /** Tokens of the answer that the attempt was given. */
  readonly givenTokens: number;
}

/**
 * Makes the work of an attempt that begins now.
 *
 * @example
 * const work = createAttemptWork({clock, costs, progress, givenTokens: 0});
 * work.started({promptTokens: 800, cachedTokens: 640});
 */
export function createAttemptWork(options: AttemptWorkOptions): AttemptWork {
  const {clock, costs, progress, givenTokens} = options;
  const startMs = clock.now();
  let computeMs = startMs;
  let uncachedTokens = 0;
  let firstTokenMs: number | undefined;
  let isStartSeen = false;

  return {
    get isStartSeen() {
      return isStartSeen;
    },
    get hasToken() {
      return firstTokenMs !== undefined;
    },
    latencyMs: () => (firstTokenMs ?? clock.now()) - startMs,
    started({promptTokens, cachedTokens}) {
      if (isStartSeen) {
        return;
      }
      isStartSeen = true;
      computeMs = clock.now();
      uncachedTokens = Math.max(0, promptTokens + givenTokens - cachedTokens);
      if (progress.hasComputed) {
        progress.recomputedTokens += uncachedTokens;
      }
      progress.hasComputed = true;
    },
    firstToken() {
      firstTokenMs = clock.now();
      progress.hasComputed = true;
      costs.observePrefill(uncachedTokens, firstTokenMs - computeMs);
    },
  };
}
