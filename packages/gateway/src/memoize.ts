/** Deferred computations. */

/**
 * Defers a computation to its first use and caches the result.
 *
 * @example
 * const fingerprint = memoize(() => hash(body));
 */
export function memoize<T>(compute: () => T): () => T {
  let cachedResult: {readonly value: T} | undefined;
  return () => {
    cachedResult ??= {value: compute()};
    return cachedResult.value;
  };
}
