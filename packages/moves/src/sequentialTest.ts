/**
 * Any-time-valid sequential test: its value is a mixture of likelihood ratios
 * over alternatives and over onset times of a fault.
 *
 * For a candidate within the tolerance, the expected test value never exceeds
 * 1. By Ville's inequality the probability that the value ever reaches 1/alpha
 * is at most alpha, however often the test is evaluated. A fixed-size test
 * evaluated repeatedly would raise false alarms on most long moves.
 */

export interface SequentialTest {
  /** Adds the log-likelihood ratios of one window, one per alternative. */
  add(logLikelihoodRatios: readonly number[]): void;
  /**
   * Adds the prior weight of faults that start in this window; called once per
   * window.
   */
  addOnset(weight: number): void;
  /** Returns the natural logarithm of the test value. */
  logValue(): number;
}

/**
 * Upper bound of the increase of an alternative's log value per window. A burst
 * of errors after the loss of a host spans one or two windows, while a fault of
 * the version persists. The test stays valid, since truncation only decreases
 * the value.
 */
const MAX_LOG_GAIN_PER_WINDOW = 5;

/**
 * Creates a test over the given number of alternatives. `initialWeight` is the
 * prior weight of faults that exist from the start.
 *
 * @example
 * const test = createSequentialTest(4, 0.4);
 * test.add(logLikelihoodRatios);
 * if (test.logValue() > Math.log(1 / alpha)) { rollBack(); }
 */
export function createSequentialTest(
  alternativeCount: number,
  initialWeight: number,
): SequentialTest {
  const logValues = new Float64Array(alternativeCount).fill(
    Math.log(initialWeight / alternativeCount),
  );
  return {
    add(logLikelihoodRatios) {
      for (let index = 0; index < alternativeCount; index++) {
        const gain = Math.min(
          logLikelihoodRatios[index] as number,
          MAX_LOG_GAIN_PER_WINDOW,
        );
        logValues[index] = (logValues[index] as number) + gain;
      }
    },
    addOnset(weight) {
      const logWeight = Math.log(weight / alternativeCount);
      for (let index = 0; index < alternativeCount; index++) {
        logValues[index] = logAddExp(logValues[index] as number, logWeight);
      }
    },
    logValue: () => logValues.reduce(logAddExp, -Infinity),
  };
}

/** Gap of two logarithms at which the smaller addend is lost in a double. */
const NEGLIGIBLE_LOG_GAP = 40;

/**
 * Returns the logarithm of the sum of two numbers given by their logarithms.
 *
 * @example
 * logAddExp(Math.log(1), Math.log(2)); // Math.log(3)
 */
export function logAddExp(a: number, b: number): number {
  const high = Math.max(a, b);
  const gap = high - Math.min(a, b);
  // The condition is negated so that it also holds if an argument is minus
  // infinity: the gap is then infinite or NaN.
  if (!(gap < NEGLIGIBLE_LOG_GAP)) {
    return high;
  }
  return high + Math.log1p(Math.exp(-gap));
}
