/**
 * Token bucket rate limiter for calls to the platform.
 *
 * The platform's rate limits are shared by the whole fleet and grow more slowly
 * than the fleet. Without a limit per process, peak load makes the platform
 * reject calls, including lease renewals, and duties move to other entries
 * without need.
 */
import {
  ServingError,
  toDisposable,
  type Clock,
  type Disposable,
} from '@skylarkfield/base';

/** Limits this process to its share of the platform's rate limit. */
export interface CallRateLimiter extends Disposable {
  /**
   * Waits for a token for one call. Throws `platform-unavailable` if no token
   * is available before `deadlineAt`, in monotonic milliseconds; throws
   * `cancelled` if the signal aborts or the limiter is disposed.
   */
  acquire(deadlineAt: number, signal?: AbortSignal): Promise<void>;
  /** Sets this process's share to the platform's rate divided by `count`. */
  setLiveEntries(count: number): void;
  /** Empties the bucket, so that calls resume slowly after an outage. */
  clearTokens(): void;
  /** Delays all calls for a duration that the platform requested. */
  blockFor(durationMs: number): void;
  ratePerSecond(): number;
  queueLength(): number;
}

interface Waiter {
  readonly deadlineAt: number;
  readonly grant: () => void;
  readonly fail: (error: ServingError) => void;
}

/** The burst size is `callsPerSecond * BURST_SECONDS` calls. */
const BURST_SECONDS = 2;
/** Minimum burst size in calls, however large the fleet. */
const MIN_BURST_CALLS = 10;

/**
 * Creates a limiter for one of `liveEntries` processes that share a rate limit.
 *
 * @example
 * const rateLimiter = createCallRateLimiter(clock, {platformCallsPerSecond: 1600, liveEntries: 7});
 * await rateLimiter.acquire(clock.now() + 2000);
 */
export function createCallRateLimiter(
  clock: Clock,
  options: {
    readonly platformCallsPerSecond: number;
    readonly liveEntries: number;
  },
): CallRateLimiter {
  let callsPerSecond =
    options.platformCallsPerSecond / Math.max(1, options.liveEntries);
  let tokens = burstSize();
  let lastRefillAt = clock.now();
  let blockedUntil = 0;
  let grantTimer: Disposable = toDisposable(() => {});
  const waiters = new Set<Waiter>();

  function burstSize(): number {
    return Math.max(MIN_BURST_CALLS, callsPerSecond * BURST_SECONDS);
  }

  function refill(): void {
    const now = clock.now();
    tokens = Math.min(
      burstSize(),
      tokens + ((now - lastRefillAt) * callsPerSecond) / 1000,
    );
    lastRefillAt = now;
  }

  /** Milliseconds until a call is allowed; 0 when a call is allowed now. */
  function nextTokenDelayMs(): number {
    refill();
    const refillDelayMs =
      tokens >= 1 ? 0 : ((1 - tokens) * 1000) / callsPerSecond;
    return Math.max(refillDelayMs, blockedUntil - clock.now());
  }

  function grantWaiters(): void {
    grantTimer.dispose();
    for (const waiter of waiters) {
      if (clock.now() >= waiter.deadlineAt) {
        waiters.delete(waiter);
        waiter.fail(rateLimitError(nextTokenDelayMs()));
        continue;
      }
      const waitMs = nextTokenDelayMs();
      if (waitMs > 0) {
        grantTimer = clock.after(Math.max(1, waitMs), grantWaiters);
        return;
      }
      tokens -= 1;
      waiters.delete(waiter);
      waiter.grant();
    }
  }

  return {
    acquire(deadlineAt, signal) {
      const waitMs = nextTokenDelayMs();
      if (waitMs === 0 && waiters.size === 0) {
        tokens -= 1;
        return Promise.resolve();
      }
      const queueWaitMs = waitMs + (waiters.size * 1000) / callsPerSecond;
      if (clock.now() + queueWaitMs > deadlineAt) {
        return Promise.reject(rateLimitError(queueWaitMs));
      }
      return new Promise((resolve, reject) => {
        const waiter = {deadlineAt, grant, fail: reject};
        function onAbort() {
          waiters.delete(waiter);
          reject(
            new ServingError('cancelled', 'the call was cancelled', {
              run: 'not-run',
            }),
          );
        }
        function grant() {
          signal?.removeEventListener('abort', onAbort);
          resolve();
        }
        signal?.addEventListener('abort', onAbort, {once: true});
        waiters.add(waiter);
        if (waiters.size === 1) {
          grantTimer = clock.after(Math.max(1, waitMs), grantWaiters);
        }
      });
    },
    setLiveEntries(count) {
      refill();
      callsPerSecond = options.platformCallsPerSecond / Math.max(1, count);
    },
    clearTokens() {
      refill();
      tokens = 0;
    },
    blockFor(durationMs) {
      blockedUntil = Math.max(blockedUntil, clock.now() + durationMs);
    },
    ratePerSecond: () => callsPerSecond,
    queueLength: () => waiters.size,
    dispose() {
      grantTimer.dispose();
      const remainingWaiters = [...waiters];
      waiters.clear();
      for (const waiter of remainingWaiters) {
        waiter.fail(
          new ServingError('cancelled', 'the platform client is closed', {
            run: 'not-run',
          }),
        );
      }
    },
  };
}

function rateLimitError(retryAfterMs: number): ServingError {
  return new ServingError(
    'platform-unavailable',
    'the platform call rate limit of this process is exceeded',
    {retryAfterMs},
  );
}
