/**
 * A budget for retries as a part of the requests that came in.
 *
 * When a service fails, every failed request wants another try; without a bound
 * that multiplies the load just when the service can carry least of it.
 */

export interface RetryBudget {
  /** A first attempt was admitted. */
  earn(): void;
  /** Takes one retry; false when the budget is used up. */
  tryTake(): boolean;
  available(): number;
}

/** Retries allowed for each admitted request. */
const RETRIES_PER_REQUEST = 0.1;

/** The most retries that may be saved up, so that a quiet hour earns no storm. */
const MOST_SAVED = 10;

/** What a service starts with, so that its first failures may be retried. */
const INITIAL = 3;

/**
 * Makes the budget of one service.
 *
 * @example
 * if (budget.tryTake()) { return attempt(next); }
 */
export function createRetryBudget(): RetryBudget {
  let tokens = INITIAL;
  return {
    earn() {
      tokens = Math.min(MOST_SAVED, tokens + RETRIES_PER_REQUEST);
    },
    tryTake() {
      if (tokens < 1) {
        return false;
      }
      tokens -= 1;
      return true;
    },
    available: () => tokens,
  };
}
