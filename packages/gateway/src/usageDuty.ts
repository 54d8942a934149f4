/**
 * Reports customers' usage to the platform, with the same counts in every
 * report of one window, even after a failover.
 *
 * If two reports of one window differed, customers would be billed twice.
 * Counts are therefore written to the store before they are sent, and a
 * successor that does not know whether its predecessor's report arrived sends
 * the same counts again.
 */
import {
  scheduleRepeatedly,
  isServingError,
  toServingError,
  type Clock,
  type Disposable,
  type Logger,
} from '@skylarkfield/base';
import type {DutyTerm} from '@skylarkfield/duties';
import type {ObjectStore} from '@skylarkfield/providers';
import type {CustomerCounts, UsageWindows} from '@skylarkfield/traffic';
import type {PlatformOrders} from './contracts.js';

/** Kind of the stored objects with the reported counts, one for each window. */
const OBJECT_KIND = 'usage-report';

/** Interval at which windows due for a report are checked, in milliseconds. */
const CHECK_INTERVAL_MS = 500;

/**
 * Delay of a report after the end of its window, in milliseconds: the last
 * counts of other entries arrive within three digests and a margin.
 */
const REPORT_DELAY_MS = 1_500;

/**
 * Number of windows whose counts remain stored in addition to those that a
 * successor may still report: one for the current window, and two for clock
 * skew.
 */
const EXTRA_RETAINED_REPORTS = 3;

/** Timeout of one call to the store or the platform, in milliseconds. */
const CALL_TIMEOUT_MS = 1_500;

export interface UsageDutyOptions {
  readonly term: DutyTerm;
  readonly holder: string;
  readonly store: ObjectStore;
  readonly orders: PlatformOrders;
  readonly usageWindows: UsageWindows;
  /**
   * Time after a window's end during which the window may be reported, in
   * milliseconds.
   */
  readonly lateMs: number;
  readonly clock: Clock;
  /** Returns the wall clock that the entries agree on, in milliseconds. */
  commonWallMs(): number;
  readonly log: Logger;
}

/**
 * Reports usage until disposed, while the term is valid.
 *
 * @example
 * dutyElections.compete('usage', term => startUsageDuty({term, ...rest}));
 */
export function startUsageDuty(options: UsageDutyOptions): Disposable {
  const {term, store, orders, usageWindows, clock, log} = options;
  const firstWindow = usageWindows.windowAt(
    options.commonWallMs() - options.lateMs,
  );
  const retainedReports =
    usageWindows.windowAt(options.lateMs) + EXTRA_RETAINED_REPORTS;
  const reportedWindows = new Set<number>();
  let isReporting = false;

  /** Returns the earliest window that is complete and not reported yet. */
  function dueWindow(): number | undefined {
    const latestWindow =
      usageWindows.windowAt(options.commonWallMs() - REPORT_DELAY_MS) - 1;
    const earliestWindow = Math.max(
      firstWindow,
      usageWindows.windowAt(options.commonWallMs() - options.lateMs) - 1,
    );
    for (let window = earliestWindow; window <= latestWindow; window++) {
      if (!reportedWindows.has(window)) {
        return window;
      }
    }
    return undefined;
  }

  /**
   * Returns the counts to report for a window: those that a predecessor has
   * already persisted, or else the local counts, which are then persisted.
   */
  async function persistCounts(window: number): Promise<CustomerCounts> {
    const counts = usageWindows.totalCounts(window);
    try {
      await store.put(
        OBJECT_KIND,
        String(window),
        counts,
        {type: 'absent'},
        AbortSignal.timeout(CALL_TIMEOUT_MS),
      );
      return counts;
    } catch (error) {
      if (!isServingError(error, 'version-conflict')) {
        throw error;
      }
      const existingObject = await store.get<CustomerCounts>(
        OBJECT_KIND,
        String(window),
      );
      return existingObject?.value ?? counts;
    }
  }

  async function report(window: number): Promise<void> {
    const counts = await persistCounts(window);
    if (!term.isValid()) {
      return;
    }
    const credentials = {holder: options.holder, fencing: term.fencing};
    const answer = await orders.reportUsage(
      credentials,
      window,
      counts,
      AbortSignal.any([term.signal, AbortSignal.timeout(CALL_TIMEOUT_MS)]),
    );
    log.info({window, counts, answer, fencing: term.fencing}, 'usage reported');
    if (answer !== 'accepted') {
      return;
    }
    reportedWindows.add(window);
    const expiredWindow = window - retainedReports;
    if (reportedWindows.delete(expiredWindow)) {
      await store.remove(
        OBJECT_KIND,
        String(expiredWindow),
        {type: 'any'},
        AbortSignal.timeout(CALL_TIMEOUT_MS),
      );
    }
  }

  async function reportDueWindow(): Promise<void> {
    const window = dueWindow();
    if (isReporting || window === undefined || !term.isValid()) {
      return;
    }
    isReporting = true;
    try {
      await report(window);
    } catch (error) {
      const {kind, message} = toServingError(error);
      log.warn({window, kind, message}, 'usage report failed; retrying');
    } finally {
      isReporting = false;
    }
  }

  return scheduleRepeatedly(
    clock,
    CHECK_INTERVAL_MS,
    () => void reportDueWindow(),
  );
}
