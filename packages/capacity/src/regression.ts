/**
 * Incremental linear regression whose sufficient statistics can be added up
 * over entries.
 *
 * Samples belong to groups, each with its own intercept, and only variation
 * within a group determines the slopes: requests of one route may wait longer
 * than those of another for reasons that no feature captures, which would bias
 * the slopes.
 */
import type {Clock} from '@skylarkfield/base';
import {Matrix, solve} from 'ml-matrix';

/** Sufficient statistics of the samples of one or more entries. */
export interface RegressionStats {
  /** Exponentially decayed number of samples. */
  readonly count: number;
  /** Exponentially decayed sum of the samples' weights. */
  readonly weight: number;
  /** Unweighted sums of the features and, last, of the outcome. */
  readonly totals: readonly number[];
  /**
   * Weighted products of deviations from the group means: the upper triangle by
   * rows, the outcome last.
   */
  readonly products: readonly number[];
}

export interface Regression {
  /** Adds a sample; `weight` is below 1 for a less informative one. */
  add(
    group: string,
    features: readonly number[],
    outcome: number,
    weight?: number,
  ): void;
  stats(): RegressionStats;
}

/** Prior distribution of the slopes. */
export interface Prior {
  readonly slopes: readonly number[];
  readonly standardDeviations: readonly number[];
}

/** Fitted slopes and their errors. */
export interface RegressionFit {
  readonly slopes: readonly number[];
  /** Returns the standard error of the outcome predicted for these features. */
  errorAt(features: readonly number[]): number;
}

/**
 * Outcomes are clamped to this many standard deviations above the group's mean:
 * a hung request is no evidence of speed.
 */
const MAX_OUTCOME_DEVIATIONS = 3;

/** Minimum samples of a group for its standard deviation to clamp outcomes. */
const MIN_SAMPLES_TO_CLAMP = 8;

interface Group {
  count: number;
  weight: number;
  at: number;
  readonly totals: Float64Array;
  /** Means weighted by the samples' weights. */
  readonly means: Float64Array;
  readonly products: Float64Array;
}

/**
 * Creates a regression without samples. Samples decay exponentially with the
 * half-life in milliseconds.
 *
 * @example
 * const model = createRegression({clock, featureCount: 2, halfLifeMs: 20_000});
 * model.add('chat', [1_200, 40], 85);
 */
export function createRegression(options: {
  readonly clock: Clock;
  readonly featureCount: number;
  readonly halfLifeMs: number;
}): Regression {
  const {clock, featureCount, halfLifeMs} = options;
  const width = featureCount + 1;
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

  function decay(group: Group): void {
    const factor = 2 ** ((group.at - clock.now()) / halfLifeMs);
    group.at = clock.now();
    group.count *= factor;
    group.weight *= factor;
    scaleInPlace(group.totals, factor);
    scaleInPlace(group.products, factor);
  }

  function clampOutcome(group: Group, outcome: number): number {
    if (group.count < MIN_SAMPLES_TO_CLAMP) {
      return outcome;
    }
    const variance = group.products.at(-1)! / group.weight;
    const upperBound =
      group.means.at(-1)! + MAX_OUTCOME_DEVIATIONS * Math.sqrt(variance);
    return Math.min(outcome, upperBound);
  }

  return {
    add(name, values, outcome, weight = 1) {
      const group = groupOf(name);
      decay(group);
      const row = [...values, clampOutcome(group, outcome)];
      const deltasBefore = row.map(
        (value, index) => value - group.means[index]!,
      );
      group.count += 1;
      group.weight += weight;
      deltasBefore.forEach((delta, index) => {
        group.totals[index]! += row[index]!;
        group.means[index]! += (weight * delta) / group.weight;
      });
      let productIndex = 0;
      for (let i = 0; i < width; i++) {
        const deltaAfter = row[i]! - group.means[i]!;
        for (let j = i; j < width; j++) {
          group.products[productIndex]! +=
            weight * deltaAfter * deltasBefore[j]!;
          productIndex += 1;
        }
      }
    },
    stats() {
      const all = [...groups.values()];
      all.forEach(decay);
      return addStats(
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

function scaleInPlace(values: Float64Array, factor: number): void {
  values.forEach((value, index) => (values[index] = value * factor));
}

/**
 * Adds up statistics of groups or entries. Statistics of another size than the
 * first, which an older version may send, are left out.
 *
 * @example
 * const total = addStats([own.stats(), ...peers]);
 */
export function addStats(parts: readonly RegressionStats[]): RegressionStats {
  const [first, ...rest] = parts;
  if (first === undefined) {
    return {count: 0, weight: 0, totals: [], products: []};
  }
  const compatible = rest.filter(
    ({products}) => products.length === first.products.length,
  );
  return compatible.reduce(
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
 * Scales the weight of statistics by a factor.
 *
 * @example
 * const decayed = scaleStats(stats, 0.5);
 */
export function scaleStats(
  stats: RegressionStats,
  factor: number,
): RegressionStats {
  return {
    count: stats.count * factor,
    weight: stats.weight * factor,
    totals: stats.totals.map(total => total * factor),
    products: stats.products.map(product => product * factor),
  };
}

/**
 * Fits non-negative slopes by Bayesian linear regression with an active set: no
 * feature makes an engine faster. With few or noisy samples the prior
 * dominates.
 *
 * @example
 * const prior = {slopes: [0.02], standardDeviations: [0.02]};
 * const {slopes} = fitSlopes(stats, prior);
 */
export function fitSlopes(stats: RegressionStats, prior: Prior): RegressionFit {
  const width = prior.slopes.length;
  const hasSamples = stats.count > 1 && stats.totals.length === width + 1;
  const product = hasSamples
    ? productLookup(stats.products, width + 1)
    : () => 0;
  const noise = hasSamples
    ? Math.max(product(width, width) / stats.weight, EPSILON)
    : 1;
  const slopes = [...prior.slopes];
  let free = slopes.map((_, index) => index);
  while (free.length > 0) {
    const solution = fitFree(prior, product, noise, free);
    free.forEach((index, position) => (slopes[index] = solution[position]!));
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
      const posterior = precisionMatrix(prior, product, noise, all);
      const direction = Matrix.columnVector([...features]);
      const variance = direction.transpose().mmul(solve(posterior, direction));
      return Math.sqrt(noise * Math.max(0, variance.get(0, 0)));
    },
  };
}

type Product = (i: number, j: number) => number;

/** Keeps the noise positive and the precision of zero deviations finite. */
const EPSILON = 1e-12;

/** Returns the posterior precision matrix, in units of one sample's noise. */
function precisionMatrix(
  {standardDeviations}: Prior,
  product: Product,
  noise: number,
  free: readonly number[],
): Matrix {
  const matrix = Matrix.zeros(free.length, free.length);
  free.forEach((i, row) => {
    free.forEach((j, column) => {
      const priorPrecision =
        i === j ? noise / (standardDeviations[i]! ** 2 + EPSILON) : 0;
      matrix.set(row, column, product(i, j) + priorPrecision);
    });
  });
  return matrix;
}

/** Solves for the free slopes; the others are fixed at zero. */
function fitFree(
  prior: Prior,
  product: Product,
  noise: number,
  free: readonly number[],
): number[] {
  const {slopes, standardDeviations} = prior;
  const outcome = slopes.length;
  const rhs = free.map(
    i =>
      product(i, outcome) +
      (noise * slopes[i]!) / (standardDeviations[i]! ** 2 + EPSILON),
  );
  const lhs = precisionMatrix(prior, product, noise, free);
  return solve(lhs, Matrix.columnVector(rhs)).to1DArray();
}

function productLookup(products: readonly number[], width: number): Product {
  return (i, j) => {
    const row = Math.min(i, j);
    const column = Math.max(i, j);
    const rowStart = row * width - (row * (row - 1)) / 2;
    return products[rowStart + column - row]!;
  };
}
