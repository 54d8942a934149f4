/** Random sampling without replacement. */
import type {Random} from '@skylarkfield/base';

/**
 * Returns up to `count` different items, each equally likely.
 *
 * @example
 * for (const peer of randomSample(random, peers, 3)) { sendDigest(peer); }
 */
export function randomSample<T>(
  random: Random,
  items: readonly T[],
  count: number,
): readonly T[] {
  const remaining = [...items];
  const chosen: T[] = [];
  while (chosen.length < count && remaining.length > 0) {
    const [item] = remaining.splice(random.integer(0, remaining.length - 1), 1);
    chosen.push(item as T);
  }
  return chosen;
}
