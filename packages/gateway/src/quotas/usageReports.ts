/**
 * Counts that this process has reported, for as long as they may be reported
 * again.
 *
 * A store restored from a copy may lack the counts that were written to it last.
 * A successor would then report other counts for the same windows, so the
 * process that has reported them writes them again.
 */
import {
  isServingError,
  scheduleRepeatedly,
  toServingError,
  type Clock,
  type Disposable,
  type Logger,
} from '@skylarkfield/base';
import type {StoreReturns} from '@skylarkfield/duties';
import type {ObjectStore} from '@skylarkfield/providers';
import type {CustomerCounts, UsageWindows} from '@skylarkfield/traffic';

/** Kind of the stored objects with the reported counts, one for each window. */
export const USAGE_REPORT_KIND = 'usage-report';

/** Timeout of one call to the store or the platform, in milliseconds. */
export const USAGE_CALL_TIMEOUT_MS = 1_500;

/** Interval at which counts are written again after a return, in ms. */
const REWRITE_INTERVAL_MS = 500;

/**
 * Number of windows whose counts are kept although this process does not report
 * them any more: a successor's clock may be behind.
 */
const EXTRA_RETAINED_WINDOWS = 2;

export interface UsageReports extends Disposable {
  /** Returns the counts that this process has reported for a window. */
  counts(window: number): CustomerCounts | undefined;
  /** Records counts; must be called before they are sent. */
  record(window: number, counts: CustomerCounts): void;
}

/**
 * Returns the earliest window that may still be reported.
 *
 * @example
 * const window = earliestWindow({usageWindows, commonWallMs, lateMs});
 */
export function earliestWindow(options: {
  readonly usageWindows: UsageWindows;
  /** Returns the wall clock that the entries agree on, in milliseconds. */
  commonWallMs(): number;
  /** Time after a window's end in which it may be reported, in milliseconds. */
  readonly lateMs: number;
}): number {
  const {usageWindows, lateMs} = options;
  return usageWindows.windowAt(options.commonWallMs() - lateMs) - 1;
}

/**
 * Creates the record of a process's reports; it outlasts the process's terms.
 *
 * @example
 * const reports = createUsageReports({store, returns, clock, log, ...windows});
 * reports.record(window, counts);
 */
export function createUsageReports(options: {
  readonly store: ObjectStore;
  readonly returns: StoreReturns;
  readonly clock: Clock;
  readonly log: Logger;
  /** Returns the earliest window that may still be reported. */
  earliestWindow(): number;
}): UsageReports {
  const {store, returns, clock, log} = options;
  const countsByWindow = new Map<number, CustomerCounts>();
  let windowsToWrite: number[] = [];
  /** Return whose lost counts are in `windowsToWrite` or written again. */
  let handledReturnAt: number | undefined;
  let isWriting = false;

  function forgetEarlierWindows(): void {
    const earliest = options.earliestWindow() - EXTRA_RETAINED_WINDOWS;
    for (const window of countsByWindow.keys()) {
      if (window < earliest) {
        countsByWindow.delete(window);
      }
    }
  }

  /** Writes counts unless the store has the window's counts. */
  async function writeAgain(
    window: number,
    counts: CustomerCounts,
  ): Promise<void> {
    try {
      await store.put(
        USAGE_REPORT_KIND,
        String(window),
        counts,
        {type: 'absent'},
        AbortSignal.timeout(USAGE_CALL_TIMEOUT_MS),
      );
      log.info({window}, 'usage report written again');
    } catch (error) {
      if (isServingError(error, 'version-conflict')) {
        return;
      }
      windowsToWrite.push(window);
      const {kind, message} = toServingError(error);
      log.warn({window, kind, message}, 'usage report not written; retrying');
    }
  }

  async function writeNext(): Promise<void> {
    const returnLearnedAt = returns.learnedAt();
    if (returnLearnedAt !== handledReturnAt) {
      handledReturnAt = returnLearnedAt;
      forgetEarlierWindows();
      // The newest ones are the most likely to be lost; they are taken first.
      windowsToWrite = [...countsByWindow.keys()].sort((a, b) => a - b);
    }
    const window = isWriting ? undefined : windowsToWrite.pop();
    const counts =
      window === undefined ? undefined : countsByWindow.get(window);
    if (window === undefined || counts === undefined) {
      return;
    }
    isWriting = true;
    await writeAgain(window, counts);
    isWriting = false;
  }

  const timer = scheduleRepeatedly(
    clock,
    REWRITE_INTERVAL_MS,
    () => void writeNext(),
  );
  return {
    counts: window => countsByWindow.get(window),
    record(window, counts) {
      countsByWindow.set(window, counts);
      forgetEarlierWindows();
    },
    dispose: () => timer.dispose(),
  };
}
