/** Rate at which the requests of an entry are lost with their endpoints. */
import type {Clock} from '@skylarkfield/base';

export interface LossRate {
  /** Records a request that got a complete response. */
  recordServed(): void;
  /** Records a request that lost its endpoint. */
  recordLost(): void;
  /**
   * Returns the weight of a crash as evidence against one of the requests that
   * it broke off: 1 while few requests are lost, near 0 if nearly all are.
   */
  crashWeight(): number;
}

/** Time over which requests are counted, in milliseconds; twice at most. */
const WINDOW_MS = 5_000;

/** Fraction of lost requests up to which a crash has the full weight. */
const FULL_WEIGHT_RATE = 0.1;

/** Requests that are assumed to have been served before the first ones. */
const ASSUMED_SERVED = 30;

/** Rounds a weight to this many parts, since weights are sent to peers. */
const WEIGHT_STEPS = 100;

interface Counts {
  served: number;
  lost: number;
}

/**
 * Creates the loss rate of one entry. If requests are lost at the rate p, k of
 * them in a row are lost by chance with probability p^k, so that the weight of
 * each is the logarithm of p.
 *
 * @example
 * lossRate.recordLost();
 * const weight = lossRate.crashWeight();
 */
export function createLossRate(clock: Clock): LossRate {
  let current: Counts = {served: 0, lost: 0};
  let previous: Counts = {served: 0, lost: 0};
  let startedAt = clock.now();

  function advanceWindow(): void {
    const elapsedMs = clock.now() - startedAt;
    if (elapsedMs < WINDOW_MS) {
      return;
    }
    previous = elapsedMs < 2 * WINDOW_MS ? current : {served: 0, lost: 0};
    current = {served: 0, lost: 0};
    startedAt = clock.now();
  }

  return {
    recordServed() {
      advanceWindow();
      current.served += 1;
    },
    recordLost() {
      advanceWindow();
      current.lost += 1;
    },
    crashWeight() {
      advanceWindow();
      const lost = current.lost + previous.lost;
      const served = current.served + previous.served + ASSUMED_SERVED;
      const rate = lost / (lost + served);
      if (rate <= FULL_WEIGHT_RATE) {
        return 1;
      }
      const weight = Math.log(rate) / Math.log(FULL_WEIGHT_RATE);
      return Math.round(weight * WEIGHT_STEPS) / WEIGHT_STEPS;
    },
  };
}
