/**
 * Any-time-valid sequential test: a mixture of likelihood ratios over
 * alternatives and over onset times of a fault.
 *
 * For a candidate within the tolerance, the expected value never exceeds 1. By
 * Ville's inequality the probability that it ever reaches 1/alpha is at most
 * alpha, however often it is evaluated. A fixed-size test evaluated repeatedly
 * would raise false alarms on most long moves.
 */

export interface SequentialTest {
  /** Adds the log-likelihood ratios of one window, one per alternative. */
  add(logLikelihoodRatios: readonly number[]): void;
  /** Adds the weight of a fault starting now; called once per window. */
  addOnset(weight: number): void;
  /** Returns the natural logarithm of the test value. */
  logValue(): number;
}

/**
 * Upper bound of the log gain per window. A burst of errors after the loss of a
 * host spans one or two windows, while a fault of the version persists. The
 * test stays valid, since truncation only decreases the value.
 */
const MAX_LOG_GAIN_PER_WINDOW = 5;

/**
 * Creates a test over the given number of alternatives.
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

/** Log difference at which double precision loses the smaller addend. */
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
  // Negated to be true also for minus infinity, whose gap is infinite or NaN.
  if (!(gap < NEGLIGIBLE_LOG_GAP)) {
    return high;
  }
  return high + Math.log1p(Math.exp(-gap));
}
