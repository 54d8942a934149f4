/** Regions in which requests may run. */

/**
 * Returns the regions that are in both lists; undefined allows all regions.
 *
 * @example
 * commonRegions(['eu', 'us'], ['eu']); // ['eu']
 */
export function commonRegions(
  first: readonly string[] | undefined,
  second: readonly string[] | undefined,
): readonly string[] | undefined {
  if (first === undefined || second === undefined) {
    return first ?? second;
  }
  return first.filter(region => second.includes(region));
}
