import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import type {ScheduledAnswer} from '../schedulerContracts.js';
import {
  SERVICE,
  SLOTS,
  startSchedulingEntries,
  type TimedAnswer,
} from './schedulingEntries.js';

/** Upper bound of the time that one question may take, in milliseconds. */
const QUERY_MS = 60;

/** A test that waits for a decision that does not come would not say which. */
const UNDECIDED: Promise<TimedAnswer> = Promise.resolve({
  answer: {type: 'undecided'},
  tookMs: Infinity,
});

describe('exchange with schedulers', () => {
  let entries: ReturnType<typeof startSchedulingEntries>;
  let first: string;
  let second: string;

  beforeEach(() => {
    entries = startSchedulingEntries();
    [first, second] = entries.ranking as [string, string];
  });

  async function placeNow(id: string, service = SERVICE): Promise<TimedAnswer> {
    const answer = entries.place(id, {service});
    await entries.clock.advance(2 * QUERY_MS + 10);
    return Promise.race([answer, UNDECIDED]);
  }

  function placementOf(answer: ScheduledAnswer) {
    assert.equal(answer.type, 'placed');
    return answer.placement;
  }

  async function fillSlots() {
    const placements = [];
    for (let index = 0; index < SLOTS; index++) {
      const {answer} = await placeNow(`f${index}`);
      placements.push(placementOf(answer));
    }
    return placements;
  }

  // Guards against waiting callers that get no decision before their time limit, and slots taken twice, after the scheduler was killed.
  it('asks the next entry, which is told what is in progress', async () => {
    const [placement] = await fillSlots();
    const waiting = entries.place('w');
    await entries.clock.advance(10);
    entries.net.crash(first);
    await entries.clock.advance(20);
    assert.equal(entries.countsAt(second).running, SLOTS);
    placement!.end('ok', 'i-0');
    await entries.clock.advance(20);
    const {answer, tookMs} = await Promise.race([waiting, UNDECIDED]);
    assert.equal(placementOf(answer).scheduler, second);
    assert.ok(tookMs <= QUERY_MS, `took ${tookMs} ms`);
  });

  // Guards against a partition without a closed connection, in which waiting callers stay with a scheduler that is not heard of.
  it('decides on waiting requests when the scheduler becomes silent', async () => {
    const placements = await fillSlots();
    const waiting = entries.place('w');
    await entries.clock.advance(10);
    entries.net.pause(first);
    for (let index = 0; index < 3; index++) {
      void entries.place(`s${index}`, {version: 'candidate'});
      await entries.clock.advance(QUERY_MS + 5);
    }
    for (const placement of placements) {
      placement.end('ok', 'i-0');
    }
    await entries.clock.advance(50);
    const {answer, tookMs} = await Promise.race([waiting, UNDECIDED]);
    assert.equal(placementOf(answer).scheduler, second);
    assert.ok(tookMs <= 4 * QUERY_MS + 20, `took ${tookMs} ms`);
  });

  // Guards against one pause of a scheduler after which two entries schedule every service for a second.
  it('skips a scheduler for one service after three late answers', async () => {
    await placeNow('warm', 'other');
    const askedFirst = entries.countsAt(first, 'other').placed > 0;
    entries.net.pause(first);
    const schedulers = [];
    for (let index = 0; index < 4; index++) {
      const {answer, tookMs} = await placeNow(`p${index}`);
      placementOf(answer).end('ok', 'i-0');
      schedulers.push(tookMs < QUERY_MS ? 'skipped' : 'asked');
    }
    assert.deepEqual(schedulers, ['asked', 'asked', 'asked', 'skipped']);
    entries.net.resume(first);
    await entries.clock.advance(10);
    // The late placements were withdrawn, although nobody waited for them.
    assert.equal(entries.countsAt(first).running, 0);
    const {answer} = await placeNow('other', 'other');
    const {scheduler} = placementOf(answer);
    assert.equal(scheduler === first, askedFirst);
  });

  // Guards against callers who wait until their time limit, and requests that no scheduler counts, after a peer has redialed.
  it('asks again over a connection that replaces the previous one', async () => {
    const [placement] = await fillSlots();
    const waiting = entries.place('w');
    await entries.clock.advance(10);
    entries.net.replaceConnection(entries.ranking[2]!, first);
    await entries.clock.advance(10);
    assert.equal(entries.countsAt(first).running, SLOTS);
    placement!.end('ok', 'i-0');
    await entries.clock.advance(10);
    const {answer, tookMs} = await Promise.race([waiting, UNDECIDED]);
    assert.equal(placementOf(answer).scheduler, first);
    assert.ok(tookMs <= QUERY_MS, `took ${tookMs} ms`);
  });

  // Guards against two attempts with one id that share a slot, which the first end frees although the other one runs.
  it('places attempts with the same id separately', async () => {
    const {answer} = await placeNow('same');
    const {answer: other} = await placeNow('same');
    assert.equal(entries.countsAt(first).running, 2);
    placementOf(answer).end('ok', 'i-0');
    await entries.clock.advance(10);
    assert.equal(entries.countsAt(first).running, 1);
    placementOf(other).end('ok', 'i-0');
    await entries.clock.advance(10);
    assert.equal(entries.countsAt(first).running, 0);
  });

  // Guards against a burst whose questions are the load, an urgency without its tenth of the starts, and callers who return together: 1,600 a second for 3 s, four times the capacity.
  it('rejects most of a burst without asking', async () => {
    const {clock, place, asker} = startSchedulingEntries(24);
    const decisions: (TimedAnswer & {urgency: number})[] = [];
    for (let index = 0; index < 4_800; index++) {
      const urgency = index % 3;
      void place(`b${index}`, {urgency}).then(timed => {
        decisions.push({...timed, urgency});
        if (timed.answer.type === 'placed') {
          const {placement} = timed.answer;
          clock.after(60, () => placement.end('ok', 'i-0'));
        }
      });
      await clock.advance(0.625);
    }
    await clock.advance(400);
    assert.equal(decisions.length, 4_800);
    const placed = decisions.filter(({answer}) => answer.type === 'placed');
    const {asked} = asker.client.dump() as {asked: number};
    assert.ok(placed.length >= 1_080, `placed ${placed.length} of 1,200`);
    assert.ok(asked <= 2_400, `asked ${asked}`);
    for (const urgency of [1, 2]) {
      const own = placed.filter(timed => timed.urgency === urgency);
      assert.ok(own.length >= 90, `urgency ${urgency}: ${own.length}`);
    }
    const retryAfters = decisions.flatMap(({answer}) =>
      answer.type === 'rejected' ? answer.retryAfterMs : [],
    );
    assert.ok(Math.max(...retryAfters) <= 12_000);
    const halfSeconds = new Set(retryAfters.map(ms => Math.floor(ms / 500)));
    assert.ok(halfSeconds.size >= 8, `returns in ${halfSeconds.size} of them`);
  });
});
