/** Retry-After of rejected requests. */
import type {Random} from '@skylarkfield/base';

/** Range of Retry-After, in milliseconds. */
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 30_000;

/** Largest relative jitter of Retry-After, to spread retries over time. */
const RETRY_AFTER_JITTER = 0.5;

/**
 * Returns the Retry-After of a request whose expected wait is `waitMs`, in
 * milliseconds.
 *
 * @example
 * const retryAfterMs = jitteredRetryAfterMs(expectedWaitMs(request), random);
 */
export function jitteredRetryAfterMs(waitMs: number, random: Random): number {
  const jitter = 1 + random.next() * RETRY_AFTER_JITTER;
  const boundedWaitMs = Math.max(MIN_RETRY_AFTER_MS, waitMs);
  return Math.ceil(Math.min(boundedWaitMs * jitter, MAX_RETRY_AFTER_MS));
}
