/**
 * Reports customers' usage to the platform, with the same counts in every
 * report of one window, even after a failover.
 *
 * If two reports of one window differed, customers would be billed twice.
 * Counts are therefore written to the store before they are sent, and a
 * successor that does not know whether its predecessor's report arrived sends
 * the same counts again. After the store was restored from a copy, windows whose
 * counts it may have lost are reported only with the counts reported before.
 */
import {
  isServingError,
  scheduleRepeatedly,
  ServingError,
  toServingError,
  withTimeLimit,
  type Clock,
  type Disposable,
  type Logger,
} from '@skylarkfield/base';
import type {DutyTerm, StoreReturns} from '@skylarkfield/duties';
import {eraOf, type ObjectStore} from '@skylarkfield/providers';
import type {CustomerCounts, UsageWindows} from '@skylarkfield/traffic';
import * as z from 'zod';
import type {PlatformOrders} from '../contracts.js';
import {
  USAGE_CALL_TIMEOUT_MS,
  USAGE_REPORT_KIND,
  earliestWindow,
  type UsageReports,
} from './usageReports.js';

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

/** Maximum difference of two entries' common wall clocks, in milliseconds. */
const MAX_CLOCK_SKEW_MS = 500;

/**
 * Time from a return of the store within which a live reporter has written its
 * lost counts again, in milliseconds.
 */
const REWRITE_WAIT_MS = 5_000;

/** Interval at which lost counts are looked for, in milliseconds. */
const REWRITE_POLL_INTERVAL_MS = 1_000;

/** Stored counts, which another writer may have replaced. */
const countsSchema = z.record(z.string(), z.number().int().min(0));

export interface UsageDutyOptions {
  readonly term: DutyTerm;
  readonly holder: string;
  readonly store: ObjectStore;
  readonly returns: StoreReturns;
  /** Reports of this process, also of its earlier terms. */
  readonly reports: UsageReports;
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
  const {term, store, returns, reports, orders, usageWindows, clock, log} =
    options;
  const firstWindow = usageWindows.windowAt(
    options.commonWallMs() - options.lateMs,
  );
  const retainedReports =
    usageWindows.windowAt(options.lateMs) + EXTRA_RETAINED_REPORTS;
  const reportedWindows = new Set<number>();
  /** Monotonic milliseconds before which a doubtful window is not retried. */
  const deferredUntil = new Map<number, number>();
  let isReporting = false;

  /** Returns the earliest window that is complete and not reported yet. */
  function dueWindow(): number | undefined {
    const latestWindow =
      usageWindows.windowAt(options.commonWallMs() - REPORT_DELAY_MS) - 1;
    const firstDueWindow = Math.max(firstWindow, earliestWindow(options));
    for (let window = firstDueWindow; window <= latestWindow; window++) {
      const isDeferred = (deferredUntil.get(window) ?? 0) > clock.now();
      if (!isDeferred && !reportedWindows.has(window)) {
        return window;
      }
    }
    return undefined;
  }

  /**
   * Returns whether another process may have reported the window before the
   * store was restored. Only the holders before this term can have done so.
   */
  function isDoubtful(window: number): boolean {
    const returnLearnedAt = returns.learnedAt();
    if (returnLearnedAt === undefined) {
      return false;
    }
    const lastReportAt = Math.min(returnLearnedAt, term.acquiredAt);
    const lastReportAtWallClock =
      options.commonWallMs() - (clock.now() - lastReportAt);
    const lastEndAtWallClock =
      lastReportAtWallClock - REPORT_DELAY_MS + MAX_CLOCK_SKEW_MS;
    return window < usageWindows.windowAt(lastEndAtWallClock);
  }

  async function readCounts(
    window: number,
  ): Promise<CustomerCounts | undefined> {
    const object = await store.get(
      USAGE_REPORT_KIND,
      String(window),
      AbortSignal.timeout(USAGE_CALL_TIMEOUT_MS),
    );
    if (object === undefined) {
      return undefined;
    }
    if (eraOf(object.version) !== returns.era()) {
      throw restoredStoreError(window);
    }
    const parsed = countsSchema.safeParse(object.value);
    if (!parsed.success) {
      // Another writer may have replaced counts that were reported.
      skip(window, 'the stored counts are invalid');
      throw new ServingError(
        'bad-record',
        `the stored counts of window ${window} are invalid`,
      );
    }
    return parsed.data;
  }

  /**
   * Returns the counts of a doubtful window. Their reporter writes them again
   * if it is alive; otherwise the window is skipped, since a missing report is
   * better than a second, different one.
   */
  async function findReportedCounts(
    window: number,
  ): Promise<CustomerCounts | undefined> {
    const counts = await readCounts(window);
    if (counts !== undefined) {
      return counts;
    }
    const waitedMs = clock.now() - (returns.learnedAt() ?? 0);
    if (waitedMs < REWRITE_WAIT_MS) {
      deferredUntil.set(window, clock.now() + REWRITE_POLL_INTERVAL_MS);
      return undefined;
    }
    skip(window, 'the store may have lost a report');
    return undefined;
  }

  function skip(window: number, reason: string): void {
    deferredUntil.delete(window);
    reportedWindows.add(window);
    log.warn({window, reason}, 'usage not reported');
  }

  /**
   * Returns the counts to report for a window: those that a predecessor has
   * already persisted, or else the local counts, which are then persisted.
   */
  async function persistCounts(
    window: number,
  ): Promise<CustomerCounts | undefined> {
    const counts = usageWindows.totalCounts(window);
    const era = returns.era();
    try {
      const {version} = await store.put(
        USAGE_REPORT_KIND,
        String(window),
        counts,
        {type: 'absent'},
        AbortSignal.timeout(USAGE_CALL_TIMEOUT_MS),
      );
      if (eraOf(version) !== returns.era()) {
        throw restoredStoreError(window);
      }
      if (eraOf(version) === era || !isDoubtful(window)) {
        return counts;
      }
      await discardCounts(window, version);
      return undefined;
    } catch (error) {
      if (!isServingError(error, 'version-conflict')) {
        throw error;
      }
      const reportedCounts = await readCounts(window);
      if (reportedCounts === undefined) {
        throw restoredStoreError(window);
      }
      return reportedCounts;
    }
  }

  /**
   * Removes counts that were written after an unnoticed return: the store may
   * have lost other counts of the window.
   */
  async function discardCounts(window: number, version: number): Promise<void> {
    skip(window, 'the store may have lost a report');
    await store.remove(
      USAGE_REPORT_KIND,
      String(window),
      {type: 'version', version},
      AbortSignal.timeout(USAGE_CALL_TIMEOUT_MS),
    );
  }

  /** Returns undefined if the window is not to be reported, or not yet. */
  async function determineCounts(
    window: number,
  ): Promise<CustomerCounts | undefined> {
    return (
      reports.counts(window) ??
      (await (isDoubtful(window)
        ? findReportedCounts(window)
        : persistCounts(window)))
    );
  }

  async function report(window: number): Promise<void> {
    const counts = await determineCounts(window);
    if (counts === undefined || !term.isValid()) {
      return;
    }
    reports.record(window, counts);
    const credentials = {holder: options.holder, fencing: term.fencing};
    const answer = await withTimeLimit(
      clock,
      USAGE_CALL_TIMEOUT_MS,
      term.signal,
      signal => orders.reportUsage(credentials, window, counts, signal),
    );
    log.info({window, counts, answer, fencing: term.fencing}, 'usage reported');
    if (answer !== 'accepted') {
      return;
    }
    reportedWindows.add(window);
    deferredUntil.delete(window);
    const expiredWindow = window - retainedReports;
    if (reportedWindows.delete(expiredWindow)) {
      await store.remove(
        USAGE_REPORT_KIND,
        String(expiredWindow),
        {type: 'any'},
        AbortSignal.timeout(USAGE_CALL_TIMEOUT_MS),
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

function restoredStoreError(window: number): ServingError {
  return new ServingError(
    'platform-unavailable',
    `the store was restored during a call for the report of window ${window}`,
  );
}
