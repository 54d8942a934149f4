/** Cost model of a KV cache transfer compared with a recomputation. */

/** Weight of the newest sample in the moving average of a rate. */
const RATE_EWMA_WEIGHT = 0.2;

/** Network time that costs as much as one millisecond of engine time. */
const NETWORK_MS_PER_ENGINE_MS = 4;

export interface MigrationCosts {
  /** Records the duration of a prefill of `tokens` uncached tokens. */
  recordPrefill(tokens: number, durationMs: number): void;
  /** Records the duration of a KV cache import. */
  recordImport(bytes: number, durationMs: number): void;
  /**
   * Returns whether a transfer costs less than a recomputation and completes
   * in `remainingMs`, the time until the source endpoint is gone.
   */
  isTransferCheaper(migration: {
    readonly bytes: number;
    readonly tokens: number;
    /** Tokens already cached at the target endpoint. */
    readonly cachedTokens: number;
    readonly remainingMs: number;
  }): boolean;
  dump(): unknown;
}

/**
 * Creates a cost model that starts from default rates and adapts to samples.
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
