/**
 * A linear regression over samples that come one by one, as sums that can be
 * added up over entries.
 *
 * Samples belong to groups. Each group has its own level, and only what varies
 * within a group counts for the slopes: requests of one route may wait longer
 * than those of another for reasons that no feature shows, and their level would
 * pass for a slope.
 */
import type {Clock} from '@skylarkfield/base';
import {Matrix, solve} from 'ml-matrix';

/** What the samples of one or more entries add up to. */
export interface RegressionSums {
  /** Samples, older ones counting for less. */
  readonly count: number;
  /** Sum of each feature and, last, of the outcome. */
  readonly totals: readonly number[];
  /** Products of the deviations from the group's means: the upper triangle by rows, the outcome last. */
  readonly products: readonly number[];
}

export interface Regression {
  note(group: string, features: readonly number[], outcome: number): void;
  sums(): RegressionSums;
}

/** What the slopes are taken for before anything was seen. */
export interface Belief {
  readonly slopes: readonly number[];
  /** Samples that the belief weighs as much as. */
  readonly weight: number;
}

/** A group's outcome counts up to this many standard deviations above its mean: an answer that hung says nothing about speed. */
const MOST_DEVIATIONS = 3;

/** Samples of a group before its deviation is known well enough to cut by it. */
const LEAST_FOR_CUT = 8;

interface Group {
  count: number;
  at: number;
  readonly means: Float64Array;
  readonly products: Float64Array;
}

/**
 * Makes a regression without samples; half of a sample's weight is gone after
 * the half-life in milliseconds.
 *
 * @example
 * const regression = createRegression({clock, features: 2, halfLifeMs: 20_000});
 * regression.note('chat', [1_200, 40], 85);
 */
export function createRegression(options: {
  readonly clock: Clock;
  readonly features: number;
  readonly halfLifeMs: number;
}): Regression {
  const {clock, features, halfLifeMs} = options;
  const width = features + 1;
  const groups = new Map<string, Group>();

  function groupOf(name: string): Group {
    const known = groups.get(name);
    if (known !== undefined) {
      return known;
    }
    const group = {
      count: 0,
      at: clock.now(),
      means: new Float64Array(width),
      products: new Float64Array((width * (width + 1)) / 2),
    };
    groups.set(name, group);
    return group;
  }

  function age(group: Group): void {
    const factor = 2 ** ((group.at - clock.now()) / halfLifeMs);
    group.at = clock.now();
    group.count *= factor;
    group.products.forEach((product, index) => {
      group.products[index] = product * factor;
    });
  }

  function cut(group: Group, outcome: number): number {
    if (group.count < LEAST_FOR_CUT) {
      return outcome;
    }
    const variance = group.products.at(-1)! / group.count;
    const most = group.means.at(-1)! + MOST_DEVIATIONS * Math.sqrt(variance);
    return Math.min(outcome, most);
  }

  return {
    note(name, values, outcome) {
      const group = groupOf(name);
      age(group);
      const row = [...values, cut(group, outcome)];
      const before = row.map((value, index) => value - group.means[index]!);
      group.count += 1;
      before.forEach((difference, index) => {
        group.means[index]! += difference / group.count;
      });
      let at = 0;
      for (let i = 0; i < width; i++) {
        const after = row[i]! - group.means[i]!;
        for (let j = i; j < width; j++) {
          group.products[at]! += after * before[j]!;
          at += 1;
        }
      }
    },
    sums() {
      const all = [...groups.values()];
      all.forEach(age);
      return addSums(
        all.map(({count, means, products}) => ({
          count,
          totals: [...means].map(mean => mean * count),
          products: [...products],
        })),
      );
    },
  };
}

/**
 * Adds up sums over groups or entries; sums of another shape, as an older
 * version may send, are left out.
 *
 * @example
 * const all = addSums([own.sums(), ...peers]);
 */
export function addSums(parts: readonly RegressionSums[]): RegressionSums {
  const [first, ...rest] = parts;
  if (first === undefined) {
    return {count: 0, totals: [], products: []};
  }
  const alike = rest.filter(
    ({products}) => products.length === first.products.length,
  );
  return alike.reduce(
    (sum, part) => ({
      count: sum.count + part.count,
      totals: sum.totals.map((value, index) => value + part.totals[index]!),
      products: sum.products.map(
        (value, index) => value + part.products[index]!,
      ),
    }),
    first,
  );
}

/**
 * The slopes that fit best, none below zero: nothing that is asked for makes an
 * engine faster. The belief counts as so many samples in each direction.
 *
 * @example
 * const [perToken] = fitSlopes(sums, {slopes: [0.02], weight: 10});
 */
export function fitSlopes(sums: RegressionSums, belief: Belief): number[] {
  const width = belief.slopes.length;
  const slopes = [...belief.slopes];
  if (sums.count <= 1 || sums.totals.length !== width + 1) {
    return slopes;
  }
  const product = triangle(sums.products, width + 1);
  let free = slopes
    .map((_, index) => index)
    .filter(index => product(index, index) > 0);
  while (free.length > 0) {
    const found = fitFree(sums, belief, product, free);
    if (found.every(slope => slope >= 0)) {
      free.forEach((index, place) => (slopes[index] = found[place]!));
      return slopes;
    }
    free
      .filter((_, place) => found[place]! < 0)
      .forEach(index => (slopes[index] = 0));
    free = free.filter((_, place) => found[place]! >= 0);
  }
  return slopes;
}

/** Solves for the free slopes; those that are not free are taken for zero. */
function fitFree(
  {count}: RegressionSums,
  belief: Belief,
  product: (i: number, j: number) => number,
  free: readonly number[],
): number[] {
  const outcome = belief.slopes.length;
  const left = Matrix.zeros(free.length, free.length);
  const right = Matrix.zeros(free.length, 1);
  free.forEach((i, row) => {
    const weight = (product(i, i) / count) * belief.weight;
    free.forEach((j, column) => {
      left.set(row, column, product(i, j) + (i === j ? weight : 0));
    });
    right.set(row, 0, product(i, outcome) + weight * belief.slopes[i]!);
  });
  return solve(left, right).to1DArray();
}

function triangle(products: readonly number[], width: number) {
  return (i: number, j: number): number => {
    const row = Math.min(i, j);
    const column = Math.max(i, j);
    const before = row * width - (row * (row - 1)) / 2;
    return products[before + column - row]!;
  };
}
