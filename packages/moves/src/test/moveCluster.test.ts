import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {virtualClock} from '@skylarkfield/base';
import {cluster, HOUR_MS, move, START_MS} from './fakes.js';

const SESSIONS = 400;

function setUp(count = 3) {
  const clock = virtualClock(START_MS);
  const parts = cluster(clock, count);
  /** How many of the sessions an entry gives to the candidate. */
  function candidates(index: number): number {
    const split = parts.entries[index]?.split;
    let taken = 0;
    for (let session = 0; session < SESSIONS; session++) {
      const version = split?.versionFor({
        service: 'booking',
        incumbent: 'v1',
        session: `s${session}`,
        isIdempotent: true,
      });
      taken += version === 'v2' ? 1 : 0;
    }
    return taken;
  }
  /** Requests at one entry for some seconds, as the split sends them. */
  async function serve(index: number, seconds: number, failing: boolean) {
    const split = parts.entries[index]?.split;
    for (let second = 0; second < seconds; second++) {
      for (let request = 0; request < 200; request++) {
        const version = split?.versionFor({
          service: 'booking',
          incumbent: 'v1',
          session: `${second}-${request}`,
          isIdempotent: true,
        });
        split?.observe({
          service: 'booking',
          version: version ?? 'v1',
          route: 'confirm',
          isError: failing && version === 'v2',
          latencyMs: 90 + (request % 21),
          loadFraction: 0.3,
        });
      }
      await clock.advance(1000);
    }
  }
  /** The move begins, the platform goes down, then the candidate fails at one entry. */
  async function cutWhilePlatformIsDown() {
    parts.holdDuty(0);
    await clock.advance(5000);
    parts.platform.setDown(true);
    await serve(2, 30, true);
  }
  return {clock, candidates, serve, cutWhilePlatformIsDown, ...parts};
}

describe('moves over several entries', () => {
  it('starts a move, and all entries follow', async () => {
    const {clock, candidates, holdDuty, platform} = setUp();
    holdDuty(0);
    await clock.advance(2000);
    assert.equal(platform.state(move.name)?.phase, 'proving');
    assert.ok(candidates(1) > 0);
    assert.equal(candidates(1), candidates(2));
  });

  it('cuts everywhere over peers alone and durably later', async () => {
    // The platform goes down, then the candidate begins to fail at one entry.
    // All entries stop sending to it at once, and when the platform is back the
    // move is taken back for good.
    const {clock, candidates, cutWhilePlatformIsDown, platform} = setUp();
    await cutWhilePlatformIsDown();
    assert.deepEqual([0, 1, 2].map(candidates), [0, 0, 0]);
    assert.notEqual(platform.state(move.name)?.phase, 'taken-back');
    platform.setDown(false);
    await clock.advance(3000);
    assert.equal(platform.state(move.name)?.phase, 'taken-back');
  });

  it('tells an entry of the cut that could not hear it at first', async () => {
    // An entry is cut off from its peers while the candidate is cut. When it
    // hears them again it must stop too, though the platform is still down.
    const {clock, candidates, serve, holdDuty, platform, bus} = setUp();
    holdDuty(0);
    await clock.advance(5000);
    platform.setDown(true);
    bus.cutOff.add('e1');
    await serve(2, 30, true);
    assert.ok(candidates(1) > 0);
    bus.cutOff.delete('e1');
    await clock.advance(2000);
    assert.equal(candidates(1), 0);
  });

  it('goes on from the evidence when the duty changes hands', async () => {
    // The holder dies in the middle of a move. A successor that began from
    // nothing could not prove the version before the deadline.
    const {serve, holdDuty, entries} = setUp();
    const first = holdDuty(0);
    await serve(1, 300, false);
    first.dispose();
    const before = proofOf(entries[2]?.judge.dump());
    assert.ok(before > 1000, `${before}`);
    holdDuty(2);
    await serve(1, 5, false);
    assert.ok(proofOf(entries[2]?.judge.dump()) >= before);
  });

  it('ignores a holder that was paused beyond its tenure', async () => {
    // A holder is paused, its lease passes on, and the new holder takes the move
    // back. The old one wakes with its old state and must not undo that.
    const {clock, holdDuty, platform, entries} = setUp();
    holdDuty(0);
    await clock.advance(3000);
    const state = platform.state(move.name);
    assert.ok(state);
    await platform.write({
      ...state,
      phase: 'taken-back',
      share: 0,
      changedAt: state.changedAt + 1,
    });
    await clock.advance(600_000);
    assert.equal(platform.state(move.name)?.phase, 'taken-back');
    entries[1]?.split.setStates([{...state, changedAt: state.changedAt + 99}]);
  });

  it('counts a move as taken back past its deadline when nobody could write', async () => {
    // The platform is down until after the deadline. The candidate was never
    // proven, so entries stop using it without being told.
    const {clock, candidates, holdDuty, platform} = setUp();
    holdDuty(0);
    await clock.advance(5000);
    platform.setDown(true);
    assert.ok(candidates(1) > 0);
    await clock.advance(HOUR_MS);
    assert.equal(candidates(1), 0);
    platform.setDown(false);
    await clock.advance(3000);
    assert.equal(platform.state(move.name)?.phase, 'taken-back');
  });

  it('tells a new entry of a finished move while the platform is down', async () => {
    // All traffic has gone over to the new version, the old one's endpoints are
    // gone, and the platform is down when an entry is replaced. Without a word
    // from its peers it would send every request to the old version.
    const {holdDuty, platform, startEntry, bus, clock} = setUp();
    holdDuty(0);
    await clock.advance(3000);
    const state = platform.state(move.name);
    assert.ok(state);
    await platform.write({
      ...state,
      phase: 'finished',
      share: 1,
      changedAt: state.changedAt + 1,
    });
    platform.setDown(true);
    const late = startEntry(3);
    bus.open('e3');
    const request = {service: 'booking', session: 's', isIdempotent: true};
    assert.equal(late.split.versionFor({...request, incumbent: 'v1'}), 'v2');
  });

  it('ends a move that the operator withdraws', async () => {
    // The operator deletes the record midway. Entries that kept the share would
    // go on testing a version that nobody wants any more.
    const {clock, candidates, holdDuty, platform, setMoves} = setUp();
    holdDuty(0);
    await clock.advance(5000);
    await setMoves([]);
    assert.equal(candidates(1), 0);
    await clock.advance(2000);
    assert.equal(platform.state(move.name)?.phase, 'withdrawn');
  });

  it('lets the second of two moves of one service wait', async () => {
    // Two moves of one service get into force. Run at once, each would be judged
    // on traffic that the other disturbs.
    const {clock, holdDuty, platform, setMoves} = setUp();
    await setMoves([move, {...move, name: 'booking-3', to: 'v3'}]);
    holdDuty(0);
    await clock.advance(5000);
    assert.equal(platform.state('booking-2')?.phase, 'proving');
    assert.equal(platform.state('booking-3')?.phase, 'waiting');
    await clock.advance(2 * HOUR_MS);
    assert.equal(platform.state('booking-3')?.phase, 'taken-back');
  });

  it('does not use a cut of an older candidate against a newer one', async () => {
    // A cut is told again until it is durable. Meanwhile the operator names a
    // mended version in the same record, which has done nothing wrong.
    const {clock, cutWhilePlatformIsDown, platform, setMoves} = setUp();
    await cutWhilePlatformIsDown();
    await setMoves([{...move, to: 'v3'}]);
    platform.setDown(false);
    await clock.advance(10_000);
    const state = platform.state(move.name);
    assert.equal(state?.to, 'v3');
    assert.equal(state?.phase, 'proving', state?.why);
  });
});

function proofOf(dump: unknown): number {
  const [first] = dump as {proof: {requests: number}[]}[];
  return first?.proof[0]?.requests ?? 0;
}
