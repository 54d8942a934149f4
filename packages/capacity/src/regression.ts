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
  /** The same by their weights. */
  readonly weight: number;
  /** Sum of each feature and, last, of the outcome, whatever the samples' weights. */
  readonly totals: readonly number[];
  /** Products of the deviations from the group's means: the upper triangle by rows, the outcome last. */
  readonly products: readonly number[];
}

export interface Regression {
  /** A sample that says less counts for less than 1. */
  note(
    group: string,
    features: readonly number[],
    outcome: number,
    weight?: number,
  ): void;
  sums(): RegressionSums;
}

/** What the slopes are taken for before anything was seen. */
export interface Belief {
  readonly slopes: readonly number[];
  /** How far each may be from that: the standard deviation of the belief. */
  readonly deviations: readonly number[];
}

/** Slopes with what is known of their errors. */
export interface RegressionFit {
  readonly slopes: readonly number[];
  /** Standard error of the outcome that the slopes give for so much of each feature. */
  errorAt(features: readonly number[]): number;
}

/** A group's outcome counts up to this many standard deviations above its mean: an answer that hung says nothing about speed. */
const MOST_DEVIATIONS = 3;

/** Samples of a group before its deviation is known well enough to cut by it. */
const LEAST_FOR_CUT = 8;

interface Group {
  count: number;
  weight: number;
  at: number;
  readonly totals: Float64Array;
  /** By the samples' weights. */
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
      weight: 0,
      at: clock.now(),
      totals: new Float64Array(width),
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
    group.weight *= factor;
    scale(group.totals, factor);
    scale(group.products, factor);
  }

  function cut(group: Group, outcome: number): number {
    if (group.count < LEAST_FOR_CUT) {
      return outcome;
    }
    const variance = group.products.at(-1)! / group.weight;
    const most = group.means.at(-1)! + MOST_DEVIATIONS * Math.sqrt(variance);
    return Math.min(outcome, most);
  }

  return {
    note(name, values, outcome, weight = 1) {
      const group = groupOf(name);
      age(group);
      const row = [...values, cut(group, outcome)];
      const before = row.map((value, index) => value - group.means[index]!);
      group.count += 1;
      group.weight += weight;
      before.forEach((difference, index) => {
        group.totals[index]! += row[index]!;
        group.means[index]! += (weight * difference) / group.weight;
      });
      let at = 0;
      for (let i = 0; i < width; i++) {
        const after = row[i]! - group.means[i]!;
        for (let j = i; j < width; j++) {
          group.products[at]! += weight * after * before[j]!;
          at += 1;
        }
      }
    },
    sums() {
      const all = [...groups.values()];
      all.forEach(age);
      return addSums(
        all.map(({count, weight, totals, products}) => ({
          count,
          weight,
          totals: [...totals],
          products: [...products],
        })),
      );
    },
  };
}

function scale(values: Float64Array, factor: number): void {
  values.forEach((value, index) => (values[index] = value * factor));
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
    return {count: 0, weight: 0, totals: [], products: []};
  }
  const alike = rest.filter(
    ({products}) => products.length === first.products.length,
  );
  return alike.reduce(
    (sum, part) => ({
      count: sum.count + part.count,
      weight: sum.weight + part.weight,
      totals: sum.totals.map((value, index) => value + part.totals[index]!),
      products: sum.products.map(
        (value, index) => value + part.products[index]!,
      ),
    }),
    first,
  );
}

/**
 * Sums that count for a part of what they did.
 *
 * @example
 * const older = scaleSums(sums, 0.5);
 */
export function scaleSums(
  sums: RegressionSums,
  factor: number,
): RegressionSums {
  return {
    count: sums.count * factor,
    weight: sums.weight * factor,
    totals: sums.totals.map(total => total * factor),
    products: sums.products.map(product => product * factor),
  };
}

/**
 * The slopes that fit best, none below zero: nothing that is asked for makes an
 * engine faster. The belief yields as far as the samples are clearer than it:
 * few samples, or samples that vary for other reasons, leave it in force.
 *
 * @example
 * const {slopes} = fitSlopes(sums, {slopes: [0.02], deviations: [0.02]});
 */
export function fitSlopes(sums: RegressionSums, belief: Belief): RegressionFit {
  const width = belief.slopes.length;
  const isSeen = sums.count > 1 && sums.totals.length === width + 1;
  const product = isSeen ? triangle(sums.products, width + 1) : () => 0;
  const noise = isSeen
    ? Math.max(product(width, width) / sums.weight, TINY)
    : 1;
  const slopes = [...belief.slopes];
  let free = slopes.map((_, index) => index);
  while (free.length > 0) {
    const found = fitFree(belief, product, noise, free);
    free.forEach((index, place) => (slopes[index] = found[place]!));
    const negative = free.filter(index => slopes[index]! < 0);
    if (negative.length === 0) {
      break;
    }
    negative.forEach(index => (slopes[index] = 0));
    free = free.filter(index => !negative.includes(index));
  }
  return {
    slopes,
    errorAt(features) {
      const all = features.map((_, index) => index);
      const left = precision(belief, product, noise, all);
      const direction = Matrix.columnVector([...features]);
      const variance = direction.transpose().mmul(solve(left, direction));
      return Math.sqrt(noise * Math.max(0, variance.get(0, 0)));
    },
  };
}

type Product = (i: number, j: number) => number;

/** Keeps the precision of a belief finite where it leaves no room. */
const TINY = 1e-12;

/** What samples and belief together know, in units of one sample's noise. */
function precision(
  {deviations}: Belief,
  product: Product,
  noise: number,
  free: readonly number[],
): Matrix {
  const left = Matrix.zeros(free.length, free.length);
  free.forEach((i, row) => {
    free.forEach((j, column) => {
      const believed = i === j ? noise / (deviations[i]! ** 2 + TINY) : 0;
      left.set(row, column, product(i, j) + believed);
    });
  });
  return left;
}

/** Solves for the free slopes; those that are not free are taken for zero. */
function fitFree(
  belief: Belief,
  product: Product,
  noise: number,
  free: readonly number[],
): number[] {
  const {slopes, deviations} = belief;
  const outcome = slopes.length;
  const right = free.map(
    i =>
      product(i, outcome) + (noise * slopes[i]!) / (deviations[i]! ** 2 + TINY),
  );
  const left = precision(belief, product, noise, free);
  return solve(left, Matrix.columnVector(right)).to1DArray();
}

function triangle(products: readonly number[], width: number): Product {
  return (i, j) => {
    const row = Math.min(i, j);
    const column = Math.max(i, j);
    const before = row * width - (row * (row - 1)) / 2;
    return products[before + column - row]!;
  };
}
