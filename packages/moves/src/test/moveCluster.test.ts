import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualClock} from '@skylarkfield/base';
import {createCluster, HOUR_MS, move, START_MS} from './fakes.js';

const SESSION_COUNT = 400;

function setUp(entryCount = 3) {
  const clock = createVirtualClock(START_MS);
  const testCluster = createCluster(clock, entryCount);
  /** Returns the number of sessions that an entry assigns to the candidate. */
  function countCandidateSessions(index: number): number {
    const split = testCluster.entries[index]?.split;
    let candidateCount = 0;
    for (let session = 0; session < SESSION_COUNT; session++) {
      const version = split?.versionFor({
        service: 'booking',
        incumbent: 'v1',
        session: `s${session}`,
        isIdempotent: true,
      });
      candidateCount += version === 'v2' ? 1 : 0;
    }
    return candidateCount;
  }
  /** Sends requests through one entry, to the versions its split selects. */
  async function serveRequests(
    index: number,
    seconds: number,
    isCandidateFailing: boolean,
  ) {
    const split = testCluster.entries[index]?.split;
    for (let second = 0; second < seconds; second++) {
      for (let request = 0; request < 200; request++) {
        const version = split?.versionFor({
          service: 'booking',
          incumbent: 'v1',
          session: `${second}-${request}`,
          isIdempotent: true,
        });
        split?.recordSample({
          service: 'booking',
          version: version ?? 'v1',
          route: 'confirm',
          isError: isCandidateFailing && version === 'v2',
          latencyMs: 90 + (request % 21),
          loadFraction: 0.3,
        });
      }
      await clock.advance(1000);
    }
  }
  /** Starts the move; the candidate fails while the platform is down. */
  async function cutWhilePlatformIsDown() {
    testCluster.holdDuty(0);
    await clock.advance(5000);
    testCluster.platform.setDown(true);
    await serveRequests(2, 30, true);
  }
  return {
    clock,
    countCandidateSessions,
    serveRequests,
    cutWhilePlatformIsDown,
    ...testCluster,
  };
}

describe('moves across several entries', () => {
  it('sends sessions to the same versions on all entries once a move starts', async () => {
    const {clock, countCandidateSessions, holdDuty, platform} = setUp();
    holdDuty(0);
    await clock.advance(2000);
    assert.equal(platform.readState(move.name)?.phase, 'proving');
    assert.ok(countCandidateSessions(1) > 0);
    assert.equal(countCandidateSessions(1), countCandidateSessions(2));
  });

  it('cuts the candidate on all entries while the platform is unavailable', async () => {
    // Entries must not keep sending requests to a failing candidate until the
    // platform is back. Peers alone have to spread the cut; the rollback is
    // stored later.
    const {clock, countCandidateSessions, cutWhilePlatformIsDown, platform} =
      setUp();
    await cutWhilePlatformIsDown();
    assert.deepEqual([0, 1, 2].map(countCandidateSessions), [0, 0, 0]);
    assert.notEqual(platform.readState(move.name)?.phase, 'taken-back');
    platform.setDown(false);
    await clock.advance(3000);
    assert.equal(platform.readState(move.name)?.phase, 'taken-back');
  });

  it('repeats a cut for an entry that was disconnected from its peers', async () => {
    // An entry that was disconnected from its peers during the cut missed the
    // broadcast. It must apply the cut on reconnect, without the platform.
    const {
      clock,
      countCandidateSessions,
      serveRequests,
      holdDuty,
      platform,
      bus,
    } = setUp();
    holdDuty(0);
    await clock.advance(5000);
    platform.setDown(true);
    bus.disconnectedPeers.add('e1');
    await serveRequests(2, 30, true);
    assert.ok(countCandidateSessions(1) > 0);
    bus.disconnectedPeers.delete('e1');
    await clock.advance(2000);
    assert.equal(countCandidateSessions(1), 0);
  });

  it('keeps the evidence when another entry takes over the duty', async () => {
    // A new holder of the duty without evidence could not complete the move in
    // time.
    const {serveRequests, holdDuty, entries} = setUp();
    const firstDuty = holdDuty(0);
    await serveRequests(1, 300, false);
    firstDuty.dispose();
    const requestsBefore = countProofRequests(entries[2]?.controller.dump());
    assert.ok(requestsBefore > 1000, `${requestsBefore}`);
    holdDuty(2);
    await serveRequests(1, 5, false);
    assert.ok(
      countProofRequests(entries[2]?.controller.dump()) >= requestsBefore,
    );
  });

  it('rejects state writes of a holder after its successor has rolled the move back', async () => {
    // The stored state changes to a rollback without the holder's knowledge, as
    // by a successor while the holder was paused. The holder continues with its
    // old state and must not undo the rollback.
    const {clock, holdDuty, platform, entries} = setUp();
    holdDuty(0);
    await clock.advance(3000);
    const state = platform.readState(move.name);
    assert.ok(state);
    await platform.writeState({
      ...state,
      phase: 'taken-back',
      share: 0,
      changedAt: state.changedAt + 1,
    });
    await clock.advance(600_000);
    assert.equal(platform.readState(move.name)?.phase, 'taken-back');
    entries[1]?.split.setStates([{...state, changedAt: state.changedAt + 99}]);
  });

  it('rolls back a move at its deadline while the platform is unavailable', async () => {
    // The platform is unavailable until after the deadline. Entries have to
    // stop using the unproven candidate, although no rollback is stored.
    const {clock, countCandidateSessions, holdDuty, platform} = setUp();
    holdDuty(0);
    await clock.advance(5000);
    platform.setDown(true);
    assert.ok(countCandidateSessions(1) > 0);
    await clock.advance(HOUR_MS);
    assert.equal(countCandidateSessions(1), 0);
    platform.setDown(false);
    await clock.advance(3000);
    assert.equal(platform.readState(move.name)?.phase, 'taken-back');
  });

  it('sends the state of a finished move to a new entry while the platform is unavailable', async () => {
    // An entry is replaced while the platform is unavailable. Without the
    // states that its peers have, the entry would send all requests to the old
    // version, which may have no endpoints left.
    const {holdDuty, platform, startEntry, bus, clock} = setUp();
    holdDuty(0);
    await clock.advance(3000);
    const state = platform.readState(move.name);
    assert.ok(state);
    await platform.writeState({
      ...state,
      phase: 'finished',
      share: 1,
      changedAt: state.changedAt + 1,
    });
    platform.setDown(true);
    const newEntry = startEntry(3);
    bus.firePeerOpened('e3');
    const request = {service: 'booking', session: 's', isIdempotent: true};
    assert.equal(
      newEntry.split.versionFor({...request, incumbent: 'v1'}),
      'v2',
    );
  });

  it('stops traffic to the candidate when the operator withdraws the move', async () => {
    // The operator removes the record of a running move. Entries that kept the
    // share would keep sending traffic to the withdrawn version.
    const {clock, countCandidateSessions, holdDuty, platform, setMoves} =
      setUp();
    holdDuty(0);
    await clock.advance(5000);
    await setMoves([]);
    assert.equal(countCandidateSessions(1), 0);
    await clock.advance(2000);
    assert.equal(platform.readState(move.name)?.phase, 'withdrawn');
  });

  it('keeps a second move of a service waiting during the first', async () => {
    // Two concurrent moves of a service would distort each other's evidence.
    const {clock, holdDuty, platform, setMoves} = setUp();
    await setMoves([move, {...move, name: 'booking-3', to: 'v3'}]);
    holdDuty(0);
    await clock.advance(5000);
    assert.equal(platform.readState('booking-2')?.phase, 'proving');
    assert.equal(platform.readState('booking-3')?.phase, 'waiting');
    await clock.advance(2 * HOUR_MS);
    assert.equal(platform.readState('booking-3')?.phase, 'taken-back');
  });

  it('does not apply the cut of an earlier candidate to a new candidate', async () => {
    // A cut is repeated until the rollback is stored. Meanwhile the operator
    // puts a fixed version into the same record; the old cut must not affect
    // it.
    const {clock, cutWhilePlatformIsDown, platform, setMoves} = setUp();
    await cutWhilePlatformIsDown();
    await setMoves([{...move, to: 'v3'}]);
    platform.setDown(false);
    await clock.advance(10_000);
    const state = platform.readState(move.name);
    assert.equal(state?.to, 'v3');
    assert.equal(state?.phase, 'proving', state?.why);
  });
});

function countProofRequests(dump: unknown): number {
  const [first] = dump as {proof: {requests: number}[]}[];
  return first?.proof[0]?.requests ?? 0;
}
