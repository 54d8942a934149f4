import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createQuotaFleet, type QuotaFleet} from './quotaFleet.js';
import {WINDOW_MS} from './quotaLoad.js';

const ENTRY_COUNT = 58;
/** Number of groups of entries that restart together. */
const GROUP_COUNT = 8;
const ALL_ENTRIES = Array.from({length: ENTRY_COUNT}, (_, index) => index);

/** A quota whose second is worth two of the largest requests. */
const SMALL_QUOTA = {perSecond: 18_000, burst: 18_000};
const LARGE_QUOTA = {perSecond: 180_000, burst: 180_000};
const LARGEST_REQUEST = 9_240;

/** Usage that operators tolerate in a window, beyond the allowance. */
const TOLERATED_FACTOR = 1.1;
const TOLERATED_TOKENS = 72_000;

/** Load below the quota, before and after faults. */
const USUAL_LOAD = {seconds: 9, factor: 0.55};

function allowanceOf({perSecond, burst}: typeof SMALL_QUOTA): number {
  return (perSecond * WINDOW_MS) / 1_000 + burst;
}

function toleratedUsage(quota: typeof SMALL_QUOTA): number {
  return allowanceOf(quota) * TOLERATED_FACTOR + TOLERATED_TOKENS;
}

/** Returns the entries of a group; there is one empty group. */
function groupOf(group: number): number[] {
  return ALL_ENTRIES.filter(
    index => Math.floor((index * GROUP_COUNT) / ENTRY_COUNT) === group,
  );
}

function grantedFraction(fleet: QuotaFleet): number {
  const {granted, requested} = fleet.totals();
  return granted / requested;
}

describe('quotas of many entries', () => {
  // Guards against all that the entries grant between two of their reports.
  for (const reportDelayMs of [300, 3_000]) {
    it(`exceed the quota by one request at most in a flood, with reports after ${reportDelayMs} ms`, async () => {
      const fleet = createQuotaFleet({
        entryCount: ENTRY_COUNT,
        quota: SMALL_QUOTA,
        reportDelayMs,
      });
      await fleet.send(USUAL_LOAD);
      await fleet.send({seconds: 10, factor: 20});
      const peak = fleet.peakWindow();
      assert.ok(peak <= allowanceOf(SMALL_QUOTA) + LARGEST_REQUEST, `${peak}`);
    });
  }

  // Guards against a quota that is too small to be divided among all entries.
  it('grant all of a quota that is smaller than one request per entry', async () => {
    const fleet = createQuotaFleet({
      entryCount: ENTRY_COUNT,
      quota: SMALL_QUOTA,
    });
    await fleet.send(USUAL_LOAD);
    assert.equal(grantedFraction(fleet), 1);
    await fleet.send({seconds: 16, factor: 4});
    const {granted} = fleet.totals();
    assert.ok(granted >= 0.95 * 16 * SMALL_QUOTA.perSecond, `${granted}`);
  });

  // Guards against entries that start and each grant what the others grant.
  for (const quota of [SMALL_QUOTA, LARGE_QUOTA]) {
    it(`tolerably exceed ${quota.perSecond} a second while groups of entries restart in turn`, async () => {
      const fleet = createQuotaFleet({entryCount: ENTRY_COUNT, quota});
      await fleet.send(USUAL_LOAD);
      await fleet.send({seconds: 4, factor: 10});
      for (let first = 0; first < 56; first += 14) {
        fleet.restart(ALL_ENTRIES.slice(first, first + 14));
        await fleet.send({seconds: 1, factor: 10});
      }
      await fleet.send({seconds: 8, factor: 10});
      const peak = fleet.peakWindow();
      assert.ok(peak <= toleratedUsage(quota), `${peak}`);
    });

    it(`tolerably exceed ${quota.perSecond} a second while all entries restart gracefully in turn twice`, async () => {
      const fleet = createQuotaFleet({
        entryCount: ENTRY_COUNT,
        quota,
        isJoinAwaited: true,
        reportDelayMs: 600,
      });
      await fleet.send(USUAL_LOAD);
      for (let step = 0; step < 2 * (GROUP_COUNT + 1); step++) {
        fleet.roll(groupOf(step % (GROUP_COUNT + 1)));
        await fleet.send({seconds: 1, factor: 10});
      }
      await fleet.send({seconds: 9, factor: 10});
      const peak = fleet.peakWindow();
      assert.ok(peak <= toleratedUsage(quota), `${peak}`);
    });

    it(`tolerably exceed ${quota.perSecond} a second after a loss of all entries`, async () => {
      const fleet = createQuotaFleet({entryCount: ENTRY_COUNT, quota});
      await fleet.send(USUAL_LOAD);
      await fleet.send({seconds: 4, factor: 10});
      fleet.restart(ALL_ENTRIES);
      await fleet.send({seconds: 8, factor: 10});
      const peak = fleet.peakWindow();
      assert.ok(peak <= toleratedUsage(quota), `${peak}`);
    });

    it(`tolerably exceed ${quota.perSecond} a second while a partition separates two halves`, async () => {
      const fleet = createQuotaFleet({entryCount: ENTRY_COUNT, quota});
      await fleet.send(USUAL_LOAD);
      await fleet.send({seconds: 2, factor: 10});
      fleet.cut(ALL_ENTRIES.slice(0, ENTRY_COUNT / 2));
      await fleet.send({seconds: 8, factor: 10});
      fleet.heal();
      await fleet.send({seconds: 8, factor: 10});
      const peak = fleet.peakWindow();
      assert.ok(peak <= toleratedUsage(quota), `${peak}`);
    });
  }

  // Guards against customers that pay for every entry that leaves in a rollout.
  it('grant all requests below a quota while all but one entry leave and return', async () => {
    const fleet = createQuotaFleet({
      entryCount: ENTRY_COUNT,
      quota: LARGE_QUOTA,
      isJoinAwaited: true,
    });
    await fleet.send(USUAL_LOAD);
    fleet.totals();
    fleet.roll(ALL_ENTRIES.slice(1));
    await fleet.send({seconds: 12, factor: 0.8});
    const fraction = grantedFraction(fleet);
    assert.ok(fraction > 0.98, `${fraction}`);
  });

  // Guards against a customer that gets nothing while its owner is missing.
  it('grant most requests of a customer while every third entry is killed', async () => {
    const fleet = createQuotaFleet({
      entryCount: ENTRY_COUNT,
      quota: LARGE_QUOTA,
    });
    await fleet.send(USUAL_LOAD);
    fleet.kill(ALL_ENTRIES.filter(index => index % 3 === 0));
    fleet.totals();
    await fleet.send({seconds: 4, factor: 0.5});
    const fraction = grantedFraction(fleet);
    assert.ok(fraction > 0.9, `${fraction}`);
  });
});
