/** Measurement of one attempt: recomputed tokens, latency and prefill rate. */
import type {Clock} from '@skylarkfield/base';
import type {MigrationCosts} from './migrationCosts.js';
import type {RequestProgress} from './progress.js';

/** Meter of one attempt; adds its recomputed tokens to `RequestProgress`. */
export interface AttemptMeter {
  /** True once the token counts of the attempt have been recorded. */
  readonly hasStarted: boolean;
  /** True once a token of this attempt was received. */
  readonly hasFirstToken: boolean;
  /**
   * Milliseconds from the start of the attempt to its first token, or to the
   * present time while no token was received.
   */
  latencyMs(): number;
  /** Records the token counts from the engine; ignores repeated calls. */
  recordStart(event: {
    readonly promptTokens: number;
    readonly cachedTokens: number;
  }): void;
  /** Records the first token; called at most once. */
  recordFirstToken(): void;
}

export interface AttemptMeterOptions {
  readonly clock: Clock;
  readonly costs: MigrationCosts;
  readonly progress: RequestProgress;
  /** Number of answer tokens from earlier attempts, sent with the prompt. */
  readonly resumedTokens: number;
}

/**
 * Creates the meter of an attempt that starts now.
 *
 * @example
 * const meter = createAttemptMeter({clock, costs, progress, resumedTokens: 0});
 * meter.recordStart({promptTokens: 800, cachedTokens: 640});
 */
export function createAttemptMeter(options: AttemptMeterOptions): AttemptMeter {
  const {clock, costs, progress, resumedTokens} = options;
  const startedAtMs = clock.now();
  let prefillStartedAtMs = startedAtMs;
  let uncachedTokens = 0;
  let firstTokenAtMs: number | undefined;
  let hasStarted = false;

  return {
    get hasStarted() {
      return hasStarted;
    },
    get hasFirstToken() {
      return firstTokenAtMs !== undefined;
    },
    latencyMs: () => (firstTokenAtMs ?? clock.now()) - startedAtMs,
    recordStart({promptTokens, cachedTokens}) {
      if (hasStarted) {
        return;
      }
      hasStarted = true;
      prefillStartedAtMs = clock.now();
      uncachedTokens = Math.max(0, promptTokens + resumedTokens - cachedTokens);
      if (progress.hasStartedPrefill) {
        progress.recomputedTokens += uncachedTokens;
      }
      progress.hasStartedPrefill = true;
    },
    recordFirstToken() {
      firstTokenAtMs = clock.now();
      progress.hasStartedPrefill = true;
      costs.recordPrefill(uncachedTokens, firstTokenAtMs - prefillStartedAtMs);
    },
  };
}
