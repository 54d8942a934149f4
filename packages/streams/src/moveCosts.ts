/** Weighs handing KV cache over against computing it again elsewhere. */

/** Weight of the newest measurement in a smoothed rate. */
const RATE_WEIGHT = 0.2;

/** Milliseconds of network use that are worth one millisecond of an engine's time. */
const NETWORK_PER_ENGINE_MS = 4;

export interface MoveCosts {
  /** The engine took this long to compute so many tokens before the first came. */
  observePrefill(tokens: number, tookMs: number): void;
  /** An import of so many bytes took this long. */
  observeImport(bytes: number, tookMs: number): void;
  /**
   * Whether handing over is the cheaper way.
   * `remainingMs` is the time until the old endpoint is gone.
   */
  isHandOverCheaper(move: {
    readonly bytes: number;
    readonly tokens: number;
    /** Tokens that the new endpoint has already. */
    readonly cachedTokens: number;
    readonly remainingMs: number;
  }): boolean;
  dump(): unknown;
}

/**
 * Makes a model that starts with guesses and learns from what it sees.
 *
 * @example
 * const costs = createMoveCosts();
 * costs.isHandOverCheaper({bytes, tokens, cachedTokens: 0, remainingMs: 5000});
 */
export function createMoveCosts(): MoveCosts {
  let prefillMsPerToken = 0.15;
  let importMsPerMegabyte = 2;

  function smooth(old: number, seen: number): number {
    return old + (seen - old) * RATE_WEIGHT;
  }

  return {
    observePrefill(tokens, tookMs) {
      if (tokens >= 64) {
        prefillMsPerToken = smooth(prefillMsPerToken, tookMs / tokens);
      }
    },
    observeImport(bytes, tookMs) {
      if (bytes > 0) {
        importMsPerMegabyte = smooth(
          importMsPerMegabyte,
          tookMs / (bytes / 1e6),
        );
      }
    },
    isHandOverCheaper({bytes, tokens, cachedTokens, remainingMs}) {
      const importMs = (bytes / 1e6) * importMsPerMegabyte;
      if (importMs > remainingMs) {
        return false;
      }
      const recomputeMs =
        Math.max(0, tokens - cachedTokens) * prefillMsPerToken;
      return importMs / NETWORK_PER_ENGINE_MS < recomputeMs;
    },
    dump: () => ({prefillMsPerToken, importMsPerMegabyte}),
  };
}
