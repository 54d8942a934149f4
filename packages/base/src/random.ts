/** Seeded random numbers, for reproducible runs. */
import prand from 'pure-rand';

export interface Random {
  /** Uniformly distributed number in [0, 1). */
  next(): number;
  /** Uniformly distributed integer from `low` to `high`, both inclusive. */
  integer(low: number, high: number): number;
  /** Uniformly chosen item; undefined for an empty list. */
  pick<T>(items: readonly T[]): T | undefined;
  /** Exponentially distributed number with the given mean. */
  exponential(mean: number): number;
  /** True with the given probability. */
  chance(probability: number): boolean;
}

const TWO_TO_32 = 0x1_0000_0000;

/**
 * Creates a generator whose sequence depends only on the seed.
 *
 * @example
 * const random = seededRandom(42);
 * random.integer(1, 6);
 */
export function seededRandom(seed: number): Random {
  const generator = prand.xoroshiro128plus(seed | 0);
  function next(): number {
    return (generator.unsafeNext() >>> 0) / TWO_TO_32;
  }
  return {
    next,
    integer: (low, high) => low + Math.floor(next() * (high - low + 1)),
    pick: items => items[Math.floor(next() * items.length)],
    exponential: mean => -Math.log(1 - next()) * mean,
    chance: probability => next() < probability,
  };
}

/**
 * Creates a generator with a random seed.
 *
 * @example
 * const random = processRandom();
 */
export function processRandom(): Random {
  return seededRandom((Math.random() * TWO_TO_32) | 0);
}
