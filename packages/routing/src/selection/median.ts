/**
 * Returns the median, for an even number of values the lower of the two middle
 * ones; 0 for an empty list.
 *
 * @example
 * median([3, 1, 2]); // 2
 */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}
