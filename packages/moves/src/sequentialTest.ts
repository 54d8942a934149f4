/**
 * An any-time-valid test: a mixture of likelihood ratios over alternatives and
 * over times at which a fault may begin.
 *
 * For a candidate that is no worse than the tolerance, the value's expectation
 * never exceeds 1, so by Ville's inequality the chance that it ever reaches
 * 1/alpha is at most alpha, however often it is looked at. A fixed-size test
 * read again and again would raise false alarms on most long moves.
 */

export interface SequentialTest {
  /** Adds the log-likelihood ratios of one window, one for each alternative. */
  add(ratios: readonly number[]): void;
  /** Lets a part of the weight begin now; called once a window. */
  begin(weight: number): void;
  /** Natural logarithm of the value. */
  logValue(): number;
}

/**
 * The most that one window may add. A burst of errors from one lost host falls
 * into a window or two; a fault of the version goes on. Cutting gains off keeps
 * the test valid, since it only makes the value smaller.
 */
const MOST_GAIN_PER_WINDOW = 5;

/**
 * Makes a test over the given number of alternatives.
 *
 * @example
 * const test = createSequentialTest(4, 0.4);
 * test.add(ratios);
 * if (test.logValue() > Math.log(1 / alpha)) { takeBack(); }
 */
export function createSequentialTest(
  alternatives: number,
  initialWeight: number,
): SequentialTest {
  const logs = new Float64Array(alternatives).fill(
    Math.log(initialWeight / alternatives),
  );
  return {
    add(ratios) {
      for (let index = 0; index < alternatives; index++) {
        const gain = Math.min(ratios[index] as number, MOST_GAIN_PER_WINDOW);
        logs[index] = (logs[index] as number) + gain;
      }
    },
    begin(weight) {
      const log = Math.log(weight / alternatives);
      for (let index = 0; index < alternatives; index++) {
        logs[index] = addLogs(logs[index] as number, log);
      }
    },
    logValue: () => logs.reduce(addLogs, -Infinity),
  };
}

/** A number smaller by this power of e adds nothing to a sum in double precision. */
const NEGLIGIBLE_GAP = 40;

/**
 * Logarithm of the sum of two numbers given by their logarithms.
 *
 * @example
 * addLogs(Math.log(1), Math.log(2)); // Math.log(3)
 */
export function addLogs(a: number, b: number): number {
  const high = Math.max(a, b);
  const gap = high - Math.min(a, b);
  // Also true for minus infinity, whose gap is infinite or not a number.
  if (!(gap < NEGLIGIBLE_GAP)) {
    return high;
  }
  return high + Math.log1p(Math.exp(-gap));
}
