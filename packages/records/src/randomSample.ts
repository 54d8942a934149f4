/** Random sampling without replacement. */
import type {Random} from '@skylarkfield/base';

/**
 * Returns up to `count` different items; all items are equally likely.
 *
 * @example
 * for (const peer of randomSample(random, peers, 3)) { sendDigest(peer); }
 */
export function randomSample<T>(
  random: Random,
  items: readonly T[],
  count: number,
): readonly T[] {
  const remainingItems = [...items];
  const chosenItems: T[] = [];
  while (chosenItems.length < count && remainingItems.length > 0) {
    const [item] = remainingItems.splice(
      random.integer(0, remainingItems.length - 1),
      1,
    );
    chosenItems.push(item as T);
  }
  return chosenItems;
}
