/** Calls to the object API with deadline, rate limit and circuit breaker. */
import {
  isServingError,
  type Clock,
  type Disposable,
  type Random,
} from '@skylarkfield/base';
import {
  createCallRateLimiter,
  type CallRateLimiter,
} from './callRateLimiter.js';
import {createCircuitBreaker, type CircuitBreaker} from './circuitBreaker.js';
import {withDeadline} from './deadline.js';
import {cancelledError, timeoutError} from './storeErrors.js';

/** Type of a call. `find` looks up a write's outcome after a lost reply. */
export type CallType = 'get' | 'list' | 'put' | 'remove' | 'watch' | 'find';

/** Makes and counts the calls of one client. */
export interface StoreCalls extends Disposable {
  readonly rateLimiter: CallRateLimiter;
  readonly circuitBreaker: CircuitBreaker;
  /**
   * Makes one call, which times out at `deadlineAt`, in monotonic milliseconds,
   * or after `callDeadlineMs`, whichever is earlier.
   */
  call<T>(
    callType: CallType,
    deadlineAt: number,
    signal: AbortSignal | undefined,
    operation: (signal: AbortSignal) => Promise<T>,
  ): Promise<T>;
  /**
   * Waits until the rate limit allows a watch to open, and counts the watch.
   * Throws `platform-unavailable` while the platform is down. An open watch has
   * no deadline.
   */
  admitWatch(): Promise<void>;
  counts(): {
    readonly calls: Readonly<Record<CallType, number>>;
    /** Number of calls without a response or with the platform unavailable. */
    readonly failures: number;
  };
}

/**
 * Creates the call layer of one client.
 *
 * @example
 * const calls = createStoreCalls({clock, random, callDeadlineMs: 2000, ...options});
 * const result = await calls.call('get', Infinity, signal, read);
 */
export function createStoreCalls(options: {
  readonly clock: Clock;
  readonly random: Random;
  /** Timeout of one call, in milliseconds. */
  readonly callDeadlineMs: number;
  /** Rate limit of the whole fleet, in calls per second. */
  readonly platformCallsPerSecond: number;
  /** Number of processes that share the rate limit. */
  readonly liveEntries: number;
  /** Makes a read to check whether the platform responds. */
  probe(signal: AbortSignal): Promise<unknown>;
}): StoreCalls {
  const {clock, random, callDeadlineMs} = options;
  const {platformCallsPerSecond, liveEntries} = options;
  const rateLimiter = createCallRateLimiter(clock, {
    platformCallsPerSecond,
    liveEntries,
  });
  const circuitBreaker = createCircuitBreaker({
    clock,
    random,
    probe: () => void probe(),
  });
  const calls = {get: 0, list: 0, put: 0, remove: 0, watch: 0, find: 0};
  let failures = 0;

  /** Makes and counts one call; its result updates the circuit breaker. */
  async function call<T>(
    callType: CallType,
    deadlineAt: number,
    signal: AbortSignal | undefined,
    operation: (signal: AbortSignal) => Promise<T>,
  ): Promise<T> {
    circuitBreaker.throwIfDown();
    const callDeadlineAt = Math.min(deadlineAt, clock.now() + callDeadlineMs);
    await rateLimiter.acquire(callDeadlineAt, signal);
    const isWrite = callType === 'put' || callType === 'remove';
    calls[callType] += 1;
    try {
      const result = await withDeadline(
        {
          clock,
          deadlineAt: callDeadlineAt,
          signal,
          onTimeout: () => timeoutError(isWrite),
          onCancel: () => cancelledError(isWrite),
        },
        operation,
      );
      circuitBreaker.recordResponse();
      return result;
    } catch (error) {
      recordError(error);
      throw error;
    }
  }

  function recordError(error: unknown): void {
    if (isServingError(error, 'overloaded')) {
      rateLimiter.blockFor(error.retryAfterMs ?? 0);
      circuitBreaker.recordResponse();
      return;
    }
    if (
      isServingError(error, 'platform-unavailable') ||
      isServingError(error, 'outcome-unknown')
    ) {
      failures += 1;
      circuitBreaker.recordFailure();
      return;
    }
    if (!isServingError(error, 'cancelled')) {
      circuitBreaker.recordResponse();
    }
  }

  /** Checks, outside the rate limit, whether the platform responds again. */
  async function probe(): Promise<void> {
    calls.get += 1;
    try {
      await withDeadline(
        {
          clock,
          deadlineAt: clock.now() + callDeadlineMs,
          signal: undefined,
          onTimeout: () => timeoutError(false),
          onCancel: () => cancelledError(false),
        },
        options.probe,
      );
      circuitBreaker.recordResponse();
    } catch (error) {
      recordError(error);
    }
  }

  return {
    rateLimiter,
    circuitBreaker,
    call,
    async admitWatch() {
      circuitBreaker.throwIfDown();
      await rateLimiter.acquire(clock.now() + callDeadlineMs);
      calls.watch += 1;
    },
    counts: () => ({calls: {...calls}, failures}),
    dispose() {
      rateLimiter.dispose();
      circuitBreaker.dispose();
    },
  };
}
