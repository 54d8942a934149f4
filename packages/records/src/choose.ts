/** Random choice without repeats. */
import type {Random} from '@skylarkfield/base';

/**
 * Up to `count` different items, each as likely as any other.
 *
 * @example
 * for (const peer of choose(random, network.connected(), 3)) { tell(peer); }
 */
export function choose<T>(
  random: Random,
  items: readonly T[],
  count: number,
): readonly T[] {
  const left = [...items];
  const chosen: T[] = [];
  while (chosen.length < count && left.length > 0) {
    const [item] = left.splice(random.integer(0, left.length - 1), 1);
    chosen.push(item as T);
  }
  return chosen;
}
