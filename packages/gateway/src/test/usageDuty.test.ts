import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  seededRandom,
  createSilentLogger,
  createVirtualClock,
  type VirtualClock,
} from '@skylarkfield/base';
import type {DutyTerm} from '@skylarkfield/duties';
import {createMemoryPlatform, type ObjectStore} from '@skylarkfield/providers';
import {createUsageWindows, type CustomerCounts} from '@skylarkfield/traffic';
import type {PlatformCallResult, PlatformOrders} from '../contracts.js';
import {startUsageDuty} from '../usageDuty.js';

const WINDOW_MS = 5_000;

interface Report {
  readonly window: number;
  readonly counts: CustomerCounts;
  readonly fencing: number;
}

function createReportRecorder(answers: PlatformCallResult[]) {
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

function createTerm(fencing: number): DutyTerm & {end(): void} {
  const controller = new AbortController();
  return {
    duty: 'fleet',
    fencing,
    acquiredAt: 0,
    isValid: () => !controller.signal.aborted,
    signal: controller.signal,
    end: () => controller.abort(),
  };
}

function startHolder(options: {
  readonly clock: VirtualClock;
  readonly store: ObjectStore;
  readonly orders: PlatformOrders;
  readonly fencing: number;
  readonly ownCount: number;
  readonly windowMs?: number;
}) {
  const {clock} = options;
  const usage = createUsageWindows({
    windowMs: options.windowMs ?? WINDOW_MS,
    self: `e${options.fencing}`,
  });
  for (let count = 0; count < options.ownCount; count++) {
    usage.recordRequest('chain', clock.wall());
  }
  const term = createTerm(options.fencing);
  const duty = startUsageDuty({
    term,
    holder: `e${options.fencing}`,
    store: options.store,
    orders: options.orders,
    usageWindows: usage,
    lateMs: 10_000,
    clock,
    commonWallMs: () => clock.wall(),
    log: createSilentLogger(),
  });
  return {term, duty, usage};
}

function assertOneReportPerWindow(reports: readonly Report[]): void {
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

describe('usage duty', () => {
  it('reports the counts that its predecessor persisted', async () => {
    // The holder of the duty fails after its report has reached the platform
    // but before it gets the response. Its successor has other counts; a
    // second, different report would bill the customer twice.
    const clock = createVirtualClock();
    const platform = createMemoryPlatform({clock, random: seededRandom(1)});
    const {reports, orders} = createReportRecorder(['failed', 'accepted']);
    const store = platform.createClient('e1');
    const firstHolder = startHolder({
      clock,
      store,
      orders,
      fencing: 1,
      ownCount: 7,
    });
    await clock.advance(WINDOW_MS + 2_000);
    firstHolder.term.end();
    firstHolder.duty.dispose();
    const reportCount = reports.length;
    assert.ok(reportCount >= 1);
    startHolder({
      clock,
      store: platform.createClient('e2'),
      orders,
      fencing: 2,
      ownCount: 99,
    });
    await clock.advance(2_000);
    assertOneReportPerWindow(reports);
  });

  it('does not report a window again if counts arrive after the report', async () => {
    // Windows are short compared to the time during which they may be reported,
    // and a partitioned entry delivers its counts long after the window was
    // reported. If the persisted counts were already removed, the window would
    // be reported again with other counts, and the customer billed twice.
    const clock = createVirtualClock();
    const platform = createMemoryPlatform({clock, random: seededRandom(1)});
    const {reports, orders} = createReportRecorder([]);
    const startedAt = clock.wall();
    const {usage} = startHolder({
      clock,
      orders,
      windowMs: 1_000,
      store: platform.createClient('e1'),
      fencing: 1,
      ownCount: 7,
    });
    await clock.advance(7_200);
    usage.recordRequest('chain', startedAt);
    await clock.advance(10_000);
    assert.ok(reports.some(({counts}) => counts['chain'] === 7));
    assertOneReportPerWindow(reports);
  });

  it('sends nothing after its term has ended', async () => {
    const clock = createVirtualClock();
    const platform = createMemoryPlatform({clock, random: seededRandom(1)});
    const {reports, orders} = createReportRecorder([]);
    const {term} = startHolder({
      clock,
      store: platform.createClient('e1'),
      orders,
      fencing: 1,
      ownCount: 1,
    });
    term.end();
    await clock.advance(20_000);
    assert.equal(reports.length, 0);
  });
});
