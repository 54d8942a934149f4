/** Holders of the duty to report usage, on a virtual clock. */
import assert from 'node:assert/strict';
import {createSilentLogger, type VirtualClock} from '@skylarkfield/base';
import {
  createStoreReturns,
  type DutyTerm,
  type StoreReturns,
} from '@skylarkfield/duties';
import type {ObjectStore} from '@skylarkfield/providers';
import {createUsageWindows, type CustomerCounts} from '@skylarkfield/traffic';
import type {PlatformCallResult, PlatformOrders} from '../../contracts.js';
import {startUsageDuty} from '../usageDuty.js';
import {
  createUsageReports,
  earliestWindow,
  type UsageReports,
} from '../usageReports.js';

export const WINDOW_MS = 5_000;

export interface Report {
  readonly window: number;
  readonly counts: CustomerCounts;
  readonly fencing: number;
}

export function createReportRecorder(answers: PlatformCallResult[]) {
  const reports: Report[] = [];
  const orders: PlatformOrders = {
    async reportUsage({fencing}, window, counts) {
      reports.push({window, counts, fencing});
      return answers.shift() ?? 'accepted';
    },
    orderEndpoints: async () => 'accepted',
  };
  return {reports, orders};
}

function createTerm(
  fencing: number,
  acquiredAt: number,
): DutyTerm & {end(): void} {
  const controller = new AbortController();
  return {
    duty: 'fleet',
    fencing,
    acquiredAt,
    isValid: () => !controller.signal.aborted,
    signal: controller.signal,
    end: () => controller.abort(),
  };
}

export function startHolder(options: {
  readonly clock: VirtualClock;
  readonly store: ObjectStore;
  readonly orders: PlatformOrders;
  readonly fencing: number;
  readonly ownCount: number;
  readonly windowMs?: number;
  /** Of the process, if it has had a term before. */
  readonly returns?: StoreReturns;
  readonly reports?: UsageReports;
}) {
  const {clock} = options;
  const usage = createUsageWindows({
    windowMs: options.windowMs ?? WINDOW_MS,
    self: `e${options.fencing}`,
  });
  for (let count = 0; count < options.ownCount; count++) {
    usage.recordRequest('chain', clock.wall());
  }
  const returns = options.returns ?? createStoreReturns(clock, options.store);
  // Known at the start, as the lease has been read before.
  returns.era();
  const log = createSilentLogger();
  const windowOptions = {
    usageWindows: usage,
    lateMs: 10_000,
    commonWallMs: () => clock.wall(),
  };
  const reports =
    options.reports ??
    createUsageReports({
      store: options.store,
      returns,
      clock,
      log,
      earliestWindow: () => earliestWindow(windowOptions),
    });
  const term = createTerm(options.fencing, clock.now());
  const duty = startUsageDuty({
    term,
    holder: `e${options.fencing}`,
    store: options.store,
    returns,
    reports,
    orders: options.orders,
    ...windowOptions,
    clock,
    log,
  });
  return {
    term,
    duty,
    usage,
    returns,
    reports,
    endTerm() {
      term.end();
      duty.dispose();
    },
  };
}

export function assertOneReportPerWindow(reports: readonly Report[]): void {
  const countsByWindow = new Map<number, Set<string>>();
  for (const {window, counts} of reports) {
    const variants = countsByWindow.get(window) ?? new Set();
    variants.add(JSON.stringify(counts));
    countsByWindow.set(window, variants);
  }
  for (const [window, variants] of countsByWindow) {
    assert.equal(
      variants.size,
      1,
      `window ${window}: ${[...variants].join(' and ')}`,
    );
  }
}
