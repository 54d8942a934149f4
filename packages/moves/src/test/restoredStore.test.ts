import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualClock} from '@skylarkfield/base';
import type {MoveState, TrafficSplit} from '../index.js';
import {createCluster, HOUR_MS, move, START_MS} from './fakes.js';

const SESSION_COUNT = 400;

function countCandidateSessions({split}: {split: TrafficSplit}): number {
  return Array.from({length: SESSION_COUNT}, (_, session) =>
    split.versionFor({
      service: 'booking',
      incumbent: 'v1',
      session: `s${session}`,
      isIdempotent: true,
    }),
  ).filter(version => version === 'v2').length;
}

async function setUp() {
  const clock = createVirtualClock(START_MS);
  const cluster = createCluster(clock, 3);
  const {platform, entries, holdDuty} = cluster;
  const firstDuty = holdDuty(0);
  await clock.advance(5000);
  const copy = platform.takeCopy();

  function readState(): MoveState {
    const state = platform.readState(move.name);
    assert.ok(state);
    return state;
  }

  /** Stores a later state of the move, as the holder does. */
  async function storeChange(change: Partial<MoveState>) {
    const state = readState();
    const changedAt = state.changedAt + 1;
    await platform.writeState({...state, ...change, changedAt});
    await clock.advance(2000);
  }

  function countWritesOf(phase: MoveState['phase']): number {
    return platform.writtenStates().filter(state => state.phase === phase)
      .length;
  }

  /** Lets the candidate fail all requests of one entry for some seconds. */
  async function failRequests(index: number) {
    const {split} = entries[index]!;
    for (let second = 0; second < 30; second++) {
      for (let request = 0; request < 200; request++) {
        const version = split.versionFor({
          service: 'booking',
          incumbent: 'v1',
          session: `${second}-${request}`,
          isIdempotent: true,
        });
        split.recordSample({
          service: 'booking',
          version,
          route: 'confirm',
          isError: version === 'v2',
          latencyMs: 90 + (request % 21),
          loadFraction: 0.3,
        });
      }
      await clock.advance(1000);
    }
  }

  return {
    ...cluster,
    clock,
    firstDuty,
    copy,
    readState,
    storeChange,
    countWritesOf,
    failRequests,
  };
}

const FINISHED = {phase: 'finished', share: 1, orderShare: 1} as const;
const ROLLED_BACK = {phase: 'taken-back', share: 0, orderShare: 0} as const;

describe('moves over a store that is restored from a copy', () => {
  it('keeps a finished move finished if its holder goes on', async () => {
    // Guards against a holder that goes on from the states of the copy.
    const {clock, entries, platform, copy, readState, storeChange} =
      await setUp();
    await storeChange(FINISHED);
    platform.restore(copy);
    await clock.advance(3000);
    assert.equal(readState().phase, 'finished');
    assert.deepEqual(
      entries.map(countCandidateSessions),
      entries.map(() => SESSION_COUNT),
    );
  });

  it('keeps a rolled-back move rolled back under a new holder', async () => {
    // Guards against a successor that proves a rejected candidate again.
    const test = await setUp();
    const {clock, entries, platform, readState} = test;
    await test.storeChange(ROLLED_BACK);
    test.firstDuty.dispose();
    platform.restore(test.copy);
    test.holdDuty(1);
    await clock.advance(3000);
    assert.equal(readState().phase, 'taken-back');
    assert.deepEqual(entries.map(countCandidateSessions), [0, 0, 0]);
  });

  it('keeps the share that a move had reached', async () => {
    // Guards against shares that fall back and are raised a second time.
    const test = await setUp();
    const {share, startedAt} = test.readState();
    await test.storeChange({phase: 'soaking', share: 0.5});
    const lostState = test.platform.takeCopy()[0]!.value;
    test.firstDuty.dispose();
    test.platform.restore(test.copy);
    assert.equal(test.readState().share, share);
    const writeCount = test.platform.writtenStates().length;
    test.holdDuty(1);
    await test.clock.advance(500);
    const restoredState = test.platform.writtenStates()[writeCount];
    assert.deepEqual(restoredState, lostState);
    assert.equal(test.readState().startedAt, startedAt);
  });

  it('lets peers tell a new holder of a state that it never had', async () => {
    // Guards against a successor that knows only what the store still has.
    const test = await setUp();
    const {clock, platform, holdDuty, startEntry} = test;
    await test.storeChange(ROLLED_BACK);
    test.firstDuty.dispose();
    platform.setDown(true);
    const newEntry = startEntry(3);
    platform.setDown(false);
    platform.restore(test.copy);
    holdDuty(3, newEntry);
    await clock.advance(3000);
    assert.equal(test.readState().phase, 'taken-back');
  });

  it('restores a lost rollback over a state that was written since', async () => {
    // Guards against a rollback that loses to a later state of an entry that did not know it.
    const test = await setUp();
    const {clock, entries, platform} = test;
    await test.storeChange(ROLLED_BACK);
    test.firstDuty.dispose();
    platform.restore(test.copy);
    await platform.writeState({
      ...test.readState(),
      changedAt: clock.wall() + 1000,
    });
    test.holdDuty(1);
    await clock.advance(3000);
    assert.equal(test.readState().phase, 'taken-back');
    assert.deepEqual(entries.map(countCandidateSessions), [0, 0, 0]);
  });

  it('stores a cut that was pending when its holder failed', async () => {
    // Guards against a cut that is lost together with the holder.
    const test = await setUp();
    const {clock, entries, platform} = test;
    platform.setDown(true);
    await test.failRequests(2);
    test.firstDuty.dispose();
    platform.setDown(false);
    platform.restore(test.copy);
    assert.deepEqual(entries.map(countCandidateSessions), [0, 0, 0]);
    test.holdDuty(1);
    await clock.advance(3000);
    assert.equal(test.readState().phase, 'taken-back');
    assert.deepEqual(entries.map(countCandidateSessions), [0, 0, 0]);
  });

  it('stores a lost state once', async () => {
    // Guards against holders that write lost states again and again.
    const test = await setUp();
    const {clock, platform, countWritesOf} = test;
    await test.storeChange(ROLLED_BACK);
    const writeCount = countWritesOf('taken-back');
    platform.restore(test.copy);
    await clock.advance(30_000);
    assert.equal(test.readState().phase, 'taken-back');
    assert.equal(countWritesOf('taken-back'), writeCount + 1);
  });

  it('keeps the outcome of a move whose record is gone', async () => {
    // Guards against a lost outcome that nobody stores since its move has ended.
    const test = await setUp();
    const {clock, platform, setMoves} = test;
    await test.storeChange(ROLLED_BACK);
    await setMoves([]);
    platform.restore(test.copy);
    await clock.advance(3000);
    assert.equal(test.readState().phase, 'taken-back');
  });

  it('does not store the state of a removed move again', async () => {
    // Guards against states that return although their retention has ended.
    const {clock, platform, entries, copy, readState} = await setUp();
    const expiredState: MoveState = {
      ...readState(),
      ...ROLLED_BACK,
      move: 'booking-1',
      changedAt: START_MS - 8 * 24 * HOUR_MS,
    };
    entries[0]!.knownStates.record([expiredState]);
    platform.restore(copy);
    await clock.advance(3000);
    assert.equal(platform.readState('booking-1'), undefined);
  });
});
