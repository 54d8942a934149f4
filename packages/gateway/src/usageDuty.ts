/**
 * Reports each usage window with one set of counts, even after a failover.
 *
 * Two different reports of one window would bill customers twice. Counts are
 * therefore written to the store before they are sent, and a successor that
 * cannot tell whether its predecessor's report arrived sends the same counts
 * again.
 */
import {
  every,
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

/** Kind of the objects that hold the reported counts, named by window. */
const OBJECT_KIND = 'usage-report';

/** Interval at which the holder checks for a due window, in milliseconds. */
const CHECK_INTERVAL_MS = 500;

/**
 * Delay after a window's end for the last counts of other entries to arrive, in
 * milliseconds: three digests and a margin.
 */
const REPORT_DELAY_MS = 1_500;

/**
 * Windows retained in the store beyond those that a successor may still report:
 * one for the current window, and two for clock skew.
 */
const EXTRA_RETAINED_REPORTS = 3;

/** Timeout of one call, in milliseconds. */
const CALL_TIMEOUT_MS = 1_500;

export interface UsageDutyOptions {
  readonly term: DutyTerm;
  readonly holder: string;
  readonly store: ObjectStore;
  readonly orders: PlatformOrders;
  readonly usage: UsageWindows;
  /** Time after a window's end in which it may be reported, in milliseconds. */
  readonly lateMs: number;
  readonly clock: Clock;
  /** Wall clock that the entries agree on, in milliseconds. */
  commonWallMs(): number;
  readonly log: Logger;
}

/**
 * Starts to report for the duration of the term.
 *
 * @example
 * dutyElections.compete('usage', term => startUsageDuty({term, ...rest}));
 */
export function startUsageDuty(options: UsageDutyOptions): Disposable {
  const {term, store, orders, usage, clock, log} = options;
  const firstWindow = usage.windowAt(options.commonWallMs() - options.lateMs);
  const retainedReports =
    usage.windowAt(options.lateMs) + EXTRA_RETAINED_REPORTS;
  const reportedWindows = new Set<number>();
  let isBusy = false;

  function dueWindow(): number | undefined {
    const latestWindow =
      usage.windowAt(options.commonWallMs() - REPORT_DELAY_MS) - 1;
    const earliestWindow = Math.max(
      firstWindow,
      usage.windowAt(options.commonWallMs() - options.lateMs) - 1,
    );
    for (let window = earliestWindow; window <= latestWindow; window++) {
      if (!reportedWindows.has(window)) {
        return window;
      }
    }
    return undefined;
  }

  /** Returns the counts to report: a predecessor's, else the local ones. */
  async function persistedCounts(window: number): Promise<CustomerCounts> {
    const counts = usage.totalCounts(window);
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
      const found = await store.get<CustomerCounts>(
        OBJECT_KIND,
        String(window),
      );
      return found?.value ?? counts;
    }
  }

  async function report(window: number): Promise<void> {
    const counts = await persistedCounts(window);
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

  async function check(): Promise<void> {
    const window = dueWindow();
    if (isBusy || window === undefined || !term.isValid()) {
      return;
    }
    isBusy = true;
    try {
      await report(window);
    } catch (error) {
      const {kind, message} = toServingError(error);
      log.warn({window, kind, message}, 'usage report failed; retrying');
    } finally {
      isBusy = false;
    }
  }

  return every(clock, CHECK_INTERVAL_MS, () => void check());
}
