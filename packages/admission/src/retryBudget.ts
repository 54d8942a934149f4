/**
 * Token bucket that limits retries to a fraction of the admitted requests.
 *
 * When a service fails, every failed request may be retried; without a limit
 * the retries multiply the load at the time when the service can sustain the
 * least.
 */

export interface RetryBudget {
  /** Adds the tokens of one admitted request. */
  deposit(): void;
  /**
   * Withdraws the token of one retry; returns false if less than one token is
   * left.
   */
  tryWithdraw(): boolean;
  balance(): number;
}

/** Tokens added by each admitted request; one retry costs one token. */
const RETRIES_PER_REQUEST = 0.1;

/**
 * Maximum number of saved tokens, so that hours without failures do not allow a
 * retry storm.
 */
const MAX_TOKENS = 10;

/** Initial tokens, so that the first failures of a service may be retried. */
const INITIAL_TOKENS = 3;

/**
 * Creates the retry budget of one service.
 *
 * @example
 * if (budget.tryWithdraw()) { return attempt(next); }
 */
export function createRetryBudget(): RetryBudget {
  let tokens = INITIAL_TOKENS;
  return {
    deposit() {
      tokens = Math.min(MAX_TOKENS, tokens + RETRIES_PER_REQUEST);
    },
    tryWithdraw() {
      if (tokens < 1) {
        return false;
      }
      tokens -= 1;
      return true;
    },
    balance: () => tokens,
  };
}
