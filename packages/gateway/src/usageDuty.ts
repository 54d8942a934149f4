/**
 * Reports each window of use once, whatever happens to the reporter.
 *
 * Two reports of one window that differ would make the operator bill twice. So
 * the counts are written to the store before they are sent: a successor that
 * does not know whether its predecessor's report arrived sends exactly the same.
 */
import {
  every,
  isServingError,
  toServingError,
  type Clock,
  type Disposable,
  type Logger,
} from '@skylarkfield/base';
import type {Tenure} from '@skylarkfield/duties';
import type {ObjectStore} from '@skylarkfield/providers';
import type {CustomerCounts, UsageWindows} from '@skylarkfield/traffic';
import type {PlatformOrders} from './contracts.js';

/** Kind of the objects that hold what is reported, named by window. */
const OBJECT_KIND = 'usage-report';

/** How often the holder looks for a window that is due, in milliseconds. */
const CHECK_INTERVAL_MS = 500;

/** Time after a window's end for the other entries' last counts to arrive: three digests and a margin. */
const REPORT_DELAY_MS = 1_500;

/**
 * Windows kept in the store beyond those that a successor may still report: one
 * for the window that has begun, and two for clocks that differ.
 */
const EXTRA_RETAINED_REPORTS = 3;

/** Time for one call, in milliseconds. */
const CALL_TIMEOUT_MS = 1_500;

export interface UsageDutyOptions {
  readonly tenure: Tenure;
  readonly holder: string;
  readonly store: ObjectStore;
  readonly orders: PlatformOrders;
  readonly usage: UsageWindows;
  /** How long after its end a window may still be reported. */
  readonly lateMs: number;
  readonly clock: Clock;
  /** The wall clock as the entries have it in common. */
  commonWallMs(): number;
  readonly log: Logger;
}

/**
 * Starts to report for as long as the tenure lasts.
 *
 * @example
 * duties.compete('usage', tenure => startUsageDuty({tenure, ...rest}));
 */
export function startUsageDuty(options: UsageDutyOptions): Disposable {
  const {tenure, store, orders, usage, clock, log} = options;
  const firstWindow = usage.windowAt(options.commonWallMs() - options.lateMs);
  const retainedReports =
    usage.windowAt(options.lateMs) + EXTRA_RETAINED_REPORTS;
  const reported = new Set<number>();
  let isBusy = false;

  function dueWindow(): number | undefined {
    const newest = usage.windowAt(options.commonWallMs() - REPORT_DELAY_MS) - 1;
    const first = Math.max(
      firstWindow,
      usage.windowAt(options.commonWallMs() - options.lateMs) - 1,
    );
    for (let window = first; window <= newest; window++) {
      if (!reported.has(window)) {
        return window;
      }
    }
    return undefined;
  }

  /** What is to be said of a window: what a predecessor wrote, or else our counts. */
  async function persistedCounts(window: number): Promise<CustomerCounts> {
    const counts = usage.total(window);
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
    if (!tenure.isValid()) {
      return;
    }
    const authority = {holder: options.holder, fencing: tenure.fencing};
    const answer = await orders.reportUsage(
      authority,
      window,
      counts,
      AbortSignal.any([tenure.signal, AbortSignal.timeout(CALL_TIMEOUT_MS)]),
    );
    log.info(
      {window, counts, answer, fencing: tenure.fencing},
      'usage reported',
    );
    if (answer !== 'accepted') {
      return;
    }
    reported.add(window);
    const expiredWindow = window - retainedReports;
    if (reported.delete(expiredWindow)) {
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
    if (isBusy || window === undefined || !tenure.isValid()) {
      return;
    }
    isBusy = true;
    try {
      await report(window);
    } catch (error) {
      const {kind, message} = toServingError(error);
      log.warn({window, kind, message}, 'usage not reported yet');
    } finally {
      isBusy = false;
    }
  }

  return every(clock, CHECK_INTERVAL_MS, () => void check());
}
