import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualClock, seededRandom} from '@skylarkfield/base';
import {createMemoryPlatform} from '@skylarkfield/providers';
import {
  assertOneReportPerWindow,
  createReportRecorder,
  startHolder,
  WINDOW_MS,
} from './usageHolders.js';

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

  // Guards against usage that is not reported any more because of one odd object.
  it('goes on after a window whose stored counts are not its own', async () => {
    const ODD_COUNTS = [null, 7, [], {chain: -1}, {chain: 'x'}, {chain: 0.5}];
    const clock = createVirtualClock();
    const platform = createMemoryPlatform({clock, random: seededRandom(1)});
    const {reports, orders} = createReportRecorder([]);
    const firstWindow = Math.floor(clock.wall() / WINDOW_MS);
    ODD_COUNTS.forEach((value, index) =>
      platform.table.put(
        {
          kind: 'usage-report',
          name: String(firstWindow + index),
          writeId: 'odd',
          condition: {type: 'any'},
        },
        value,
      ),
    );
    startHolder({
      clock,
      store: platform.createClient('e1'),
      orders,
      fencing: 1,
      ownCount: 7,
    });
    await clock.advance((ODD_COUNTS.length + 3) * WINDOW_MS);
    const reportedWindows = reports.map(({window}) => window - firstWindow);
    assert.ok(reportedWindows.includes(ODD_COUNTS.length));
    assert.deepEqual(
      reportedWindows.filter(w => w >= 0 && w < ODD_COUNTS.length),
      [],
    );
  });
});
