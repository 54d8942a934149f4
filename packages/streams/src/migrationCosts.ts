/** Cost model that compares a KV cache transfer with a recomputation. */

/** Weight of the newest sample in the moving average of a rate. */
const RATE_EWMA_WEIGHT = 0.2;

/** Network milliseconds that cost as much as one engine millisecond. */
const NETWORK_MS_PER_ENGINE_MS = 4;

export interface MigrationCosts {
  /** Records the duration of a prefill of `tokens` uncached tokens. */
  recordPrefill(tokens: number, durationMs: number): void;
  /** Records the duration of a KV cache import. */
  recordImport(bytes: number, durationMs: number): void;
  /**
   * Returns whether a KV cache transfer costs less than recomputing the tokens
   * and completes within `remainingMs`, the time until the source endpoint is
   * gone.
   */
  isTransferCheaper(migration: {
    /** Size of the KV cache to transfer. */
    readonly bytes: number;
    /** Number of tokens in the KV cache to transfer. */
    readonly tokens: number;
    /** Number of tokens already cached at the target endpoint. */
    readonly cachedTokens: number;
    readonly remainingMs: number;
  }): boolean;
  dump(): unknown;
}

/**
 * Creates a cost model with default rates, which recorded durations adjust.
 *
 * @example
 * const costs = createMigrationCosts();
 * costs.isTransferCheaper({bytes, tokens, cachedTokens: 0, remainingMs: 5000});
 */
export function createMigrationCosts(): MigrationCosts {
  let prefillMsPerToken = 0.15;
  let importMsPerMegabyte = 2;

  function updateAverage(average: number, sample: number): number {
    return average + (sample - average) * RATE_EWMA_WEIGHT;
  }

  return {
    recordPrefill(tokens, durationMs) {
      if (tokens >= 64) {
        prefillMsPerToken = updateAverage(
          prefillMsPerToken,
          durationMs / tokens,
        );
      }
    },
    recordImport(bytes, durationMs) {
      if (bytes > 0) {
        importMsPerMegabyte = updateAverage(
          importMsPerMegabyte,
          durationMs / (bytes / 1e6),
        );
      }
    },
    isTransferCheaper({bytes, tokens, cachedTokens, remainingMs}) {
      const importMs = (bytes / 1e6) * importMsPerMegabyte;
      if (importMs > remainingMs) {
        return false;
      }
      const recomputeMs =
        Math.max(0, tokens - cachedTokens) * prefillMsPerToken;
      return importMs / NETWORK_MS_PER_ENGINE_MS < recomputeMs;
    },
    dump: () => ({prefillMsPerToken, importMsPerMegabyte}),
  };
}
