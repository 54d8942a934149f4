import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualClock, seededRandom} from '@skylarkfield/base';
import {
  createMemoryPlatform,
  type MemoryObjectStoreClient,
} from '@skylarkfield/providers';
import {
  assertOneReportPerWindow,
  createReportRecorder,
  startHolder,
  WINDOW_MS,
} from './usageHolders.js';

/** Time within which a window is reported after its end, in milliseconds. */
const REPORT_MS = 2_500;
const REPORT_KIND = 'usage-report';

/** Creates a platform on which time starts as a window does. */
async function createUsagePlatform() {
  const clock = createVirtualClock();
  const platform = createMemoryPlatform({clock, random: seededRandom(1)});
  const {reports, orders} = createReportRecorder([]);
  await clock.advance(WINDOW_MS - (clock.wall() % WINDOW_MS));

  /** Starts a process that has read the store, with its first term. */
  async function start(fencing: number, ownCount: number) {
    const store = platform.createClient(`e${fencing}`);
    await store.get('lease', 'fleet');
    const options = {clock, store, orders, fencing, ownCount};
    return {store, options, ...startHolder(options)};
  }

  return {
    clock,
    platform,
    reports,
    start,
    windowAt: (wallMs: number) => Math.floor(wallMs / WINDOW_MS),
    storedReports: () => platform.table.list(REPORT_KIND).objects.length,
    /** Lets processes learn of the return, as they do by reading the lease. */
    async restore(
      copy: ReturnType<typeof platform.takeCopy>,
      stores: readonly MemoryObjectStoreClient[],
    ) {
      platform.restore(copy);
      for (const store of stores) {
        await store.get('lease', 'fleet');
      }
    },
  };
}

describe('usage duty over a store restored from a copy', () => {
  // Guards against a successor that finds a report lost and counts anew.
  it('reports the counts that a live predecessor writes again', async () => {
    const {clock, platform, reports, start, restore} =
      await createUsagePlatform();
    const first = await start(1, 7);
    const copy = platform.takeCopy();
    await clock.advance(WINDOW_MS + REPORT_MS);
    const reportCount = reports.length;
    assert.ok(reports.some(({counts}) => counts['chain'] === 7));
    first.endTerm();
    const second = await start(2, 99);
    second.endTerm();
    await restore(copy, [first.store, second.store]);
    startHolder({...second.options, ...second, fencing: 3});
    await clock.advance(WINDOW_MS + REPORT_MS);
    assertOneReportPerWindow(reports);
    assert.ok(reports.length > reportCount);
    assert.ok(
      reports.some(({counts, fencing}) => counts['chain'] === 7 && fencing > 1),
    );
  });

  // Guards against a second report of a window whose reporter is gone.
  it('skips a window that a dead predecessor may have reported', async () => {
    const {clock, platform, reports, start, restore, windowAt} =
      await createUsagePlatform();
    const first = await start(1, 7);
    const second = await start(2, 99);
    second.endTerm();
    const copy = platform.takeCopy();
    await clock.advance(WINDOW_MS + REPORT_MS);
    assert.ok(reports.some(({counts}) => counts['chain'] === 7));
    first.endTerm();
    first.reports.dispose();
    await restore(copy, [second.store]);
    const firstWindow = windowAt(clock.wall());
    startHolder({...second.options, ...second, fencing: 3});
    await clock.advance(3 * WINDOW_MS);
    assertOneReportPerWindow(reports);
    const laterWindows = reports
      .filter(({fencing}) => fencing === 3)
      .map(({window}) => window);
    assert.deepEqual(laterWindows, [
      firstWindow,
      firstWindow + 1,
      firstWindow + 2,
    ]);
  });

  // Guards against a successor that started after the return.
  it('skips such a window also if a lease tells it of the return', async () => {
    const {clock, platform, reports, start, restore} =
      await createUsagePlatform();
    const first = await start(1, 7);
    const copy = platform.takeCopy();
    await clock.advance(WINDOW_MS + REPORT_MS);
    first.endTerm();
    first.reports.dispose();
    await restore(copy, []);
    const second = await start(2, 99);
    second.returns.recordFormerEra(0);
    await clock.advance(3 * WINDOW_MS);
    assertOneReportPerWindow(reports);
    assert.ok(reports.some(({fencing}) => fencing === 2));
  });

  // Guards against a process that contradicts its own report in a later term.
  it('repeats the counts of its own earlier term', async () => {
    const {clock, platform, reports, start, restore} =
      await createUsagePlatform();
    const first = await start(1, 7);
    const startedAt = clock.wall();
    const copy = platform.takeCopy();
    await clock.advance(WINDOW_MS + REPORT_MS);
    first.endTerm();
    first.usage.recordRequest('chain', startedAt);
    await restore(copy, [first.store]);
    startHolder({...first.options, ...first, ownCount: 3, fencing: 2});
    await clock.advance(WINDOW_MS);
    assertOneReportPerWindow(reports);
    assert.ok(reports.some(({fencing}) => fencing === 2));
  });

  // Guards against windows that a holder gives up although only it reports.
  it('misses no window of a holder that stays over returns', async () => {
    const {clock, platform, reports, start, restore, windowAt} =
      await createUsagePlatform();
    const firstWindow = windowAt(clock.wall());
    const {store} = await start(1, 7);
    for (let count = 0; count < 6; count++) {
      const copy = platform.takeCopy();
      await clock.advance(0.7 * WINDOW_MS);
      await restore(copy, [store]);
    }
    await clock.advance(REPORT_MS);
    const windows = reports.map(({window}) => window);
    for (let window = firstWindow; window < firstWindow + 4; window++) {
      assert.ok(windows.includes(window), `${window} not in ${windows}`);
    }
    assertOneReportPerWindow(reports);
  });

  // Guards against windows skipped at a store that was never restored.
  it('reports a window that its predecessor has not reported', async () => {
    const {clock, reports, start} = await createUsagePlatform();
    const first = await start(1, 7);
    first.endTerm();
    await clock.advance(WINDOW_MS + REPORT_MS);
    assert.equal(reports.length, 0);
    await start(2, 99);
    await clock.advance(REPORT_MS);
    assert.ok(reports.some(({fencing}) => fencing === 2));
  });

  // Guards against a report whose counts were stored over a return unnoticed.
  it('does not report counts that it wrote without knowing of the return', async () => {
    const {clock, platform, reports, start, storedReports} =
      await createUsagePlatform();
    const first = await start(1, 7);
    const second = await start(2, 99);
    second.endTerm();
    const copy = platform.takeCopy();
    await clock.advance(WINDOW_MS + REPORT_MS);
    first.endTerm();
    first.reports.dispose();
    platform.restore(copy);
    startHolder({...second.options, ...second, fencing: 3});
    await clock.advance(REPORT_MS);
    assertOneReportPerWindow(reports);
    assert.equal(storedReports(), 0);
  });

  // Guards against writing reports again and again, or over other counts.
  it('writes reports again once, one in half a second', async () => {
    const {clock, platform, start, restore, storedReports} =
      await createUsagePlatform();
    const {store, endTerm} = await start(1, 7);
    const copy = platform.takeCopy();
    await clock.advance(2 * WINDOW_MS + REPORT_MS);
    endTerm();
    const reportCount = storedReports();
    assert.ok(reportCount >= 3);
    const writesBefore = platform.callCounts().writes;
    await restore(copy, [store]);
    for (let seconds = 0; seconds < 30; seconds++) {
      await clock.advance(1_000);
      const writes = platform.callCounts().writes - writesBefore;
      assert.ok(writes <= Math.min(reportCount, 2 * (seconds + 1)));
    }
    assert.equal(storedReports(), reportCount);
  });
});
