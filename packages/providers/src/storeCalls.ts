/** Calls to the object API: each within its deadline, the budget and the outage state, and counted. */
import {
  isServingError,
  type Clock,
  type Disposable,
  type Random,
} from '@skylarkfield/base';
import {createCallBudget, type CallBudget} from './callBudget.js';
import {withDeadline} from './deadline.js';
import {createOutage, type Outage} from './outage.js';
import {cancelled, timedOut} from './storeErrors.js';

/** What a call was for. */
export type CallUse = 'get' | 'list' | 'put' | 'remove' | 'watch' | 'find';

/** Makes and counts the calls of one client. */
export interface StoreCalls extends Disposable {
  readonly budget: CallBudget;
  readonly outage: Outage;
  /**
   * Makes one call. The deadline is in monotonic milliseconds; the call's own
   * one holds where it is earlier.
   */
  call<T>(
    use: CallUse,
    deadlineAt: number,
    signal: AbortSignal | undefined,
    operation: (signal: AbortSignal) => Promise<T>,
  ): Promise<T>;
  /** Admits and counts a call that waits for changes, which has no deadline. */
  admitWatch(): Promise<void>;
  counts(): {
    readonly calls: Readonly<Record<CallUse, number>>;
    readonly failures: number;
  };
}

/**
 * Makes the calls of one client.
 *
 * @example
 * const calls = createStoreCalls({clock, random, callDeadlineMs: 2000, ...rest});
 * const reading = await calls.call('get', Infinity, signal, read);
 */
export function createStoreCalls(options: {
  readonly clock: Clock;
  readonly random: Random;
  /** Time for one call, in milliseconds. */
  readonly callDeadlineMs: number;
  /** What the platform takes from the whole fleet, in calls a second. */
  readonly platformCallsPerSecond: number;
  readonly liveEntries: number;
  /** A read that shows whether the platform answers. */
  probe(signal: AbortSignal): Promise<unknown>;
}): StoreCalls {
  const {clock, random, callDeadlineMs} = options;
  const {platformCallsPerSecond, liveEntries} = options;
  const budget = createCallBudget(clock, {platformCallsPerSecond, liveEntries});
  const outage = createOutage({clock, random, probe: () => void probe()});
  const calls = {get: 0, list: 0, put: 0, remove: 0, watch: 0, find: 0};
  let failures = 0;

  /** One counted call within the budget; its result moves the outage state. */
  async function call<T>(
    use: CallUse,
    deadlineAt: number,
    signal: AbortSignal | undefined,
    operation: (signal: AbortSignal) => Promise<T>,
  ): Promise<T> {
    outage.admit();
    const callDeadlineAt = Math.min(deadlineAt, clock.now() + callDeadlineMs);
    await budget.take(callDeadlineAt, signal);
    const isWrite = use === 'put' || use === 'remove';
    calls[use] += 1;
    try {
      const result = await withDeadline(
        {
          clock,
          deadlineAt: callDeadlineAt,
          signal,
          onTimeout: () => timedOut(isWrite),
          onCancel: () => cancelled(isWrite),
        },
        operation,
      );
      outage.noteAnswer();
      return result;
    } catch (error) {
      noteError(error);
      throw error;
    }
  }

  function noteError(error: unknown): void {
    if (isServingError(error, 'overloaded')) {
      budget.holdBack(error.retryAfterMs ?? 0);
      outage.noteAnswer();
      return;
    }
    if (
      isServingError(error, 'platform-unavailable') ||
      isServingError(error, 'outcome-unknown')
    ) {
      failures += 1;
      outage.noteFailure();
      return;
    }
    if (!isServingError(error, 'cancelled')) {
      outage.noteAnswer();
    }
  }

  /** Asks outside the budget whether the platform answers again. */
  async function probe(): Promise<void> {
    calls.get += 1;
    try {
      await withDeadline(
        {
          clock,
          deadlineAt: clock.now() + callDeadlineMs,
          signal: undefined,
          onTimeout: () => timedOut(false),
          onCancel: () => cancelled(false),
        },
        options.probe,
      );
      outage.noteAnswer();
    } catch (error) {
      noteError(error);
    }
  }

  return {
    budget,
    outage,
    call,
    async admitWatch() {
      outage.admit();
      await budget.take(clock.now() + callDeadlineMs);
      calls.watch += 1;
    },
    counts: () => ({calls: {...calls}, failures}),
    dispose() {
      budget.dispose();
      outage.dispose();
    },
  };
}
