/**
 * A token bucket over calls to the platform.
 *
 * The platform's rates are shared by the whole fleet and grow more slowly than
 * it: without a budget a busy hour at every entry together makes the platform
 * refuse calls, lease renewals among them, and duties change hands for nothing.
 */
import {
  ServingError,
  toDisposable,
  type Clock,
  type Disposable,
} from '@skylarkfield/base';

/** This process's share of the platform's rate. */
export interface CallBudget extends Disposable {
  /**
   * Waits for leave to make one call.
   * Throws `platform-unavailable` when none comes before the deadline.
   */
  take(deadlineAt: number, signal?: AbortSignal): Promise<void>;
  /** Sets this process's share: the platform's budget over the live entries. */
  setLiveEntries(count: number): void;
  /** Empties the bucket, so that a return from an outage starts slowly. */
  drain(): void;
  /** Makes no call before the span has passed: the platform asked for it. */
  holdBack(spanMs: number): void;
  ratePerSecond(): number;
  waiting(): number;
}

interface Waiter {
  readonly deadlineAt: number;
  readonly go: () => void;
  readonly fail: (error: ServingError) => void;
}

/** Calls that may be made at once after a quiet time, as seconds of the rate. */
const BURST_SECONDS = 2;
/** A process can always make a few calls in a row, however large the fleet. */
const MIN_BURST = 10;

/**
 * Makes a bucket for one of `liveEntries` processes that share the platform's rate.
 *
 * @example
 * const budget = createCallBudget(clock, {platformCallsPerSecond: 1600, liveEntries: 7});
 * await budget.take(clock.now() + 2000);
 */
export function createCallBudget(
  clock: Clock,
  options: {
    readonly platformCallsPerSecond: number;
    readonly liveEntries: number;
  },
): CallBudget {
  let rate = options.platformCallsPerSecond / Math.max(1, options.liveEntries);
  let tokens = burst();
  let filledAt = clock.now();
  let heldUntil = 0;
  let timer: Disposable = toDisposable(() => {});
  const waiters = new Set<Waiter>();

  function burst(): number {
    return Math.max(MIN_BURST, rate * BURST_SECONDS);
  }

  function refill(): void {
    const now = clock.now();
    tokens = Math.min(burst(), tokens + ((now - filledAt) * rate) / 1000);
    filledAt = now;
  }

  /** Milliseconds until the next token, 0 when there is one. */
  function delayMs(): number {
    refill();
    const forToken = tokens >= 1 ? 0 : ((1 - tokens) * 1000) / rate;
    return Math.max(forToken, heldUntil - clock.now());
  }

  function serve(): void {
    timer.dispose();
    for (const waiter of waiters) {
      if (clock.now() >= waiter.deadlineAt) {
        waiters.delete(waiter);
        waiter.fail(usedUp(delayMs()));
        continue;
      }
      const wait = delayMs();
      if (wait > 0) {
        timer = clock.after(Math.max(1, wait), serve);
        return;
      }
      tokens -= 1;
      waiters.delete(waiter);
      waiter.go();
    }
  }

  return {
    take(deadlineAt, signal) {
      const wait = delayMs();
      if (wait === 0 && waiters.size === 0) {
        tokens -= 1;
        return Promise.resolve();
      }
      const queueMs = wait + (waiters.size * 1000) / rate;
      if (clock.now() + queueMs > deadlineAt) {
        return Promise.reject(usedUp(queueMs));
      }
      return new Promise((resolve, reject) => {
        const waiter = {deadlineAt, go, fail: reject};
        function onAbort() {
          waiters.delete(waiter);
          reject(
            new ServingError('cancelled', 'the call was cancelled', {
              run: 'not-run',
            }),
          );
        }
        function go() {
          signal?.removeEventListener('abort', onAbort);
          resolve();
        }
        signal?.addEventListener('abort', onAbort, {once: true});
        waiters.add(waiter);
        if (waiters.size === 1) {
          timer = clock.after(Math.max(1, wait), serve);
        }
      });
    },
    setLiveEntries(count) {
      refill();
      rate = options.platformCallsPerSecond / Math.max(1, count);
    },
    drain() {
      refill();
      tokens = 0;
    },
    holdBack(spanMs) {
      heldUntil = Math.max(heldUntil, clock.now() + spanMs);
    },
    ratePerSecond: () => rate,
    waiting: () => waiters.size,
    dispose() {
      timer.dispose();
      const left = [...waiters];
      waiters.clear();
      for (const waiter of left) {
        waiter.fail(
          new ServingError('cancelled', 'the platform client is closed', {
            run: 'not-run',
          }),
        );
      }
    },
  };
}

function usedUp(retryAfterMs: number): ServingError {
  return new ServingError(
    'platform-unavailable',
    'the call budget of this process is used up',
    {retryAfterMs},
  );
}
