/** Fit of a line through samples, of which the latest count the most. */

export interface LineFit {
  /** Returns the value at 0. */
  base(): number;
  /** Returns the increase of the value with x. */
  slope(): number;
  add(x: number, y: number): void;
}

/** Fraction of the weight that earlier samples keep with each new one. */
const KEPT_WEIGHT = 0.985;

/** Added to a value to get its weight, so that small values do not dominate. */
const WEIGHT_OFFSET = 20;

/** Minimum variance of x relative to its square, for a slope of its own. */
const MIN_RELATIVE_VARIANCE = 0.05;

/**
 * Minimum slope, as a fraction of the mean ratio of y to x: a larger x must not
 * seem free because samples happen to contradict it.
 */
const MIN_SLOPE_FRACTION = 0.1;

/**
 * Creates a line with slope 1 through the origin, and without samples. The base
 * is never negative, the slope is positive.
 *
 * @example
 * fit.add(116, 240);
 * const y = fit.base() + fit.slope() * 58;
 */
export function createLineFit(): LineFit {
  const sums = {w: 0, x: 0, y: 0, xx: 0, xy: 0};
  let slope = 1;
  let base = 0;

  function update(): void {
    const {w, x, y, xx, xy} = sums;
    const variance = w * xx - x * x;
    const meanRatio = y / x;
    slope =
      variance > MIN_RELATIVE_VARIANCE * w * xx
        ? Math.max(meanRatio * MIN_SLOPE_FRACTION, (w * xy - x * y) / variance)
        : meanRatio;
    base = (y - slope * x) / w;
    if (base < 0) {
      base = 0;
      slope = xy / xx;
    }
  }

  return {
    base: () => base,
    slope: () => slope,
    add(x, y) {
      const sample = {w: 1, x, y, xx: x * x, xy: x * y};
      const weight = 1 / (y + WEIGHT_OFFSET);
      for (const name of ['w', 'x', 'y', 'xx', 'xy'] as const) {
        sums[name] = sums[name] * KEPT_WEIGHT + sample[name] * weight;
      }
      update();
    },
  };
}
