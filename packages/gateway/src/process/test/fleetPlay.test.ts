import assert from 'node:assert/strict';
import {it} from 'node:test';
import {playDay, TRAFFIC_START_MS, type DayPlay} from './fleetPlay.js';

const RECLAIM_WAVE = [
  {atMs: 27_000, domain: 'a'},
  {atMs: 30_000, domain: 'd'},
  {atMs: 33_000, domain: 'b'},
];

/** In the burst before the smoothed work rate has risen. */
const EARLY_RECLAIM = [{atMs: 21_000, domain: 'a'}];

/** Half of the time more requests are late than the planning tolerates. */
function lateHalfTheTime(atMs: number): number {
  return atMs > 18_000 && atMs % 12_000 > 6_000 ? 0.25 : 0.1;
}

const QUIET_DAY: DayPlay = {
  slots: 12,
  countsSlots: true,
  lengthMs: 52_000,
  load: 1,
  showsRemovals: true,
  reclaims: [],
  latePartAt: () => 0,
};

/** Plays a day by the rules for few slots, and by the general rules. */
async function playBoth(play: Partial<DayPlay>) {
  const fewSlots = await playDay({...QUIET_DAY, ...play});
  const general = await playDay({...QUIET_DAY, ...play, slots: 48});
  return {fewSlots, general, costRatio: fewSlots.cost / general.cost};
}

// The plan's own orders raised the initial fleet, and with it the need before
// the first work, from 47 to 78 of 78 initial endpoints.
it('pays less for the time before the first request', async () => {
  const {costRatio} = await playBoth({lengthMs: TRAFFIC_START_MS});
  assert.ok(costRatio < 0.92, `${costRatio}`);
});

// Endpoints that the plan removed while the load fell were taken for reclaimed
// ones: no endpoint was removed for 15 s, and on-demand ones were ordered.
it('does not take its own removals for reclaims', async () => {
  const visible = await playDay(QUIET_DAY);
  const hidden = await playDay({...QUIET_DAY, showsRemovals: false});
  const ratio = visible.cost / hidden.cost;
  assert.ok(ratio < 1.01, `${ratio}`);
  assert.ok(visible.shortMs <= hidden.shortMs, `${visible.shortMs}`);
});

// A quarter of the need was on demand, at four to five times the price, for
// reclaims of several failure domains within seconds.
it('pays less for the reserve and loses no more in reclaims', async () => {
  for (const load of [0.75, 1]) {
    for (const reclaims of [
      [],
      EARLY_RECLAIM,
      RECLAIM_WAVE.slice(0, 1),
      RECLAIM_WAVE,
    ]) {
      const {fewSlots, general, costRatio} = await playBoth({load, reclaims});
      assert.ok(costRatio < 0.93, `${costRatio}`);
      assert.ok(fewSlots.shortMs <= general.shortMs, `${fewSlots.shortMs}`);
      assert.ok(fewSlots.shortSeconds <= general.shortSeconds);
    }
  }
});

// Requests are late for a cause that endpoints do not cure, such as routing. The
// need then rose by a quarter of the present endpoints, reserve included, at
// each plan, up to twice the work. Bursts must still find the endpoints that
// they find on a day without lateness.
it('pays less for lateness and still covers bursts', async () => {
  for (const load of [0.75, 1]) {
    for (const reclaims of [[], RECLAIM_WAVE.slice(0, 1), RECLAIM_WAVE]) {
      const play = {load, reclaims, latePartAt: lateHalfTheTime};
      const {fewSlots, costRatio} = await playBoth(play);
      const {general: onTime} = await playBoth({load, reclaims});
      assert.ok(costRatio < 0.75, `${costRatio}`);
      assert.ok(fewSlots.shortMs <= onTime.shortMs, `${fewSlots.shortMs}`);
      assert.ok(fewSlots.shortSeconds <= onTime.shortSeconds);
    }
  }
});

// Endpoints on demand per second, and reclaimable ones, by the code before
// planning by kinds: a service of 48 slots on a day of reclaims and lateness.
it('plans services with many slots as before', async () => {
  const {counts} = await playDay({
    ...QUIET_DAY,
    slots: 48,
    countsSlots: false,
    reclaims: RECLAIM_WAVE,
    latePartAt: lateHalfTheTime,
  });
  assert.equal(
    counts.filter((_, second) => second % 3 === 0).join(' '),
    '78+0 78+51 78+84 27+84 20+84 20+84 20+84 20+84 20+84 19+80 ' +
      '25+111 60+93 108+56 108+56 108+112 108+116 108+96 108+96',
  );
});
