/**
 * Incremental linear regression whose sufficient statistics can be added up
 * over entries.
 *
 * Samples belong to groups, each with a separate intercept, and only variation
 * within a group determines the slopes. The requests of one route may wait
 * longer than the requests of another for reasons that no feature captures;
 * with a common intercept that difference would bias the slopes.
 */
import type {Clock} from '@skylarkfield/base';
import {Matrix, solve} from 'ml-matrix';

/** Sufficient statistics of the samples of one or more entries. */
export interface RegressionStats {
  /** Exponentially decayed number of samples. */
  readonly count: number;
  /** Exponentially decayed sum of the samples' weights. */
  readonly weight: number;
  /** Unweighted, decayed sums of the features and, last, of the outcome. */
  readonly totals: readonly number[];
  /**
   * Weighted sums of the products of two deviations from the group means: the
   * upper triangle of the matrix by rows, with the outcome last.
   */
  readonly products: readonly number[];
}

/** Regression of an outcome on features. */
export interface Regression {
  /** Adds a sample; `weight` is below 1 for a less informative one. */
  addSample(
    group: string,
    features: readonly number[],
    outcome: number,
    weight?: number,
  ): void;
  stats(): RegressionStats;
}

/** Independent normal prior distributions of the slopes. */
export interface Prior {
  readonly slopes: readonly number[];
  readonly standardDeviations: readonly number[];
}

/** Fitted slopes and the error of predictions. */
export interface RegressionFit {
  readonly slopes: readonly number[];
  /** Returns the standard error of the outcome predicted for these features. */
  standardErrorAt(features: readonly number[]): number;
}

/**
 * Outcomes are clamped to this many standard deviations above the group's mean:
 * a hung request is no evidence of speed.
 */
const MAX_OUTCOME_DEVIATIONS = 3;

/** Minimum samples of a group before its outcomes are clamped. */
const MIN_SAMPLES_TO_CLAMP = 8;

/** Decaying statistics of one group; see `RegressionStats`. */
interface Group {
  count: number;
  weight: number;
  /** Time of the last decay, in monotonic milliseconds. */
  updatedAtMs: number;
  readonly totals: Float64Array;
  /** Means of the features and, last, of the outcome, by sample weight. */
  readonly means: Float64Array;
  readonly products: Float64Array;
}

/**
 * Creates a regression without samples. Samples decay exponentially with a
 * half-life of `halfLifeMs`.
 *
 * @example
 * const regression = createRegression({clock, featureCount: 2, halfLifeMs: 20_000});
 * regression.addSample('chat', [1_200, 40], 85);
 */
export function createRegression(options: {
  readonly clock: Clock;
  readonly featureCount: number;
  readonly halfLifeMs: number;
}): Regression {
  const {clock, featureCount, halfLifeMs} = options;
  const width = featureCount + 1;
  const groups = new Map<string, Group>();

  function getOrCreateGroup(name: string): Group {
    const existing = groups.get(name);
    if (existing !== undefined) {
      return existing;
    }
    const group = {
      count: 0,
      weight: 0,
      updatedAtMs: clock.now(),
      totals: new Float64Array(width),
      means: new Float64Array(width),
      products: new Float64Array((width * (width + 1)) / 2),
    };
    groups.set(name, group);
    return group;
  }

  function decay(group: Group): void {
    const factor = 2 ** ((group.updatedAtMs - clock.now()) / halfLifeMs);
    group.updatedAtMs = clock.now();
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
    addSample(groupName, features, outcome, weight = 1) {
      const group = getOrCreateGroup(groupName);
      decay(group);
      const row = [...features, clampOutcome(group, outcome)];
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
      const allGroups = [...groups.values()];
      allGroups.forEach(decay);
      return addStats(
        allGroups.map(({count, weight, totals, products}) => ({
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
 * Adds up statistics of groups or entries. Statistics with another number of
 * features than the first, which an older version may send, are left out.
 *
 * @example
 * const total = addStats([regression.stats(), ...peerStats]);
 */
export function addStats(
  statsList: readonly RegressionStats[],
): RegressionStats {
  const [first, ...others] = statsList;
  if (first === undefined) {
    return {count: 0, weight: 0, totals: [], products: []};
  }
  const compatibleStats = others.filter(
    ({products}) => products.length === first.products.length,
  );
  return compatibleStats.reduce(
    (sum, stats) => ({
      count: sum.count + stats.count,
      weight: sum.weight + stats.weight,
      totals: sum.totals.map((value, index) => value + stats.totals[index]!),
      products: sum.products.map(
        (value, index) => value + stats.products[index]!,
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
 * Fits slopes by Bayesian linear regression. Slopes are non-negative (by an
 * active-set method), since no feature makes an engine faster. With few or
 * noisy samples the prior dominates.
 *
 * @example
 * const prior = {slopes: [0.02], standardDeviations: [0.02]};
 * const {slopes} = fitSlopes(stats, prior);
 */
export function fitSlopes(stats: RegressionStats, prior: Prior): RegressionFit {
  const width = prior.slopes.length;
  const hasSamples = stats.count > 1 && stats.totals.length === width + 1;
  const crossProduct = hasSamples
    ? createCrossProduct(stats.products, width + 1)
    : () => 0;
  const noiseVariance = hasSamples
    ? Math.max(crossProduct(width, width) / stats.weight, EPSILON)
    : 1;
  const slopes = [...prior.slopes];
  let freeIndices = slopes.map((_, index) => index);
  while (freeIndices.length > 0) {
    const solution = fitFreeSlopes(
      prior,
      crossProduct,
      noiseVariance,
      freeIndices,
    );
    freeIndices.forEach(
      (index, position) => (slopes[index] = solution[position]!),
    );
    const negativeIndices = freeIndices.filter(index => slopes[index]! < 0);
    if (negativeIndices.length === 0) {
      break;
    }
    negativeIndices.forEach(index => (slopes[index] = 0));
    freeIndices = freeIndices.filter(index => !negativeIndices.includes(index));
  }
  return {
    slopes,
    standardErrorAt(features) {
      const allIndices = features.map((_, index) => index);
      const posterior = createPrecisionMatrix(
        prior,
        crossProduct,
        noiseVariance,
        allIndices,
      );
      const direction = Matrix.columnVector([...features]);
      const variance = direction.transpose().mmul(solve(posterior, direction));
      return Math.sqrt(noiseVariance * Math.max(0, variance.get(0, 0)));
    },
  };
}

/** Returns the sum of products of the deviations of two columns. */
type CrossProduct = (i: number, j: number) => number;

/**
 * Keeps the noise variance positive, and the precision of a prior with standard
 * deviation 0 finite.
 */
const EPSILON = 1e-12;

/**
 * Returns the posterior precision matrix of the free slopes, multiplied by the
 * noise variance of a sample.
 */
function createPrecisionMatrix(
  {standardDeviations}: Prior,
  crossProduct: CrossProduct,
  noiseVariance: number,
  freeIndices: readonly number[],
): Matrix {
  const matrix = Matrix.zeros(freeIndices.length, freeIndices.length);
  freeIndices.forEach((i, row) => {
    freeIndices.forEach((j, column) => {
      const priorPrecision =
        i === j ? noiseVariance / (standardDeviations[i]! ** 2 + EPSILON) : 0;
      matrix.set(row, column, crossProduct(i, j) + priorPrecision);
    });
  });
  return matrix;
}

/** Solves for the free slopes, with all other slopes fixed at zero. */
function fitFreeSlopes(
  prior: Prior,
  crossProduct: CrossProduct,
  noiseVariance: number,
  freeIndices: readonly number[],
): number[] {
  const {slopes, standardDeviations} = prior;
  const outcomeIndex = slopes.length;
  const rhs = freeIndices.map(
    i =>
      crossProduct(i, outcomeIndex) +
      (noiseVariance * slopes[i]!) / (standardDeviations[i]! ** 2 + EPSILON),
  );
  const lhs = createPrecisionMatrix(
    prior,
    crossProduct,
    noiseVariance,
    freeIndices,
  );
  return solve(lhs, Matrix.columnVector(rhs)).to1DArray();
}

function createCrossProduct(
  products: readonly number[],
  width: number,
): CrossProduct {
  return (i, j) => {
    const row = Math.min(i, j);
    const column = Math.max(i, j);
    const rowStart = row * width - (row * (row - 1)) / 2;
    return products[rowStart + column - row]!;
  };
}
