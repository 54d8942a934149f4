import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {silentLogger, virtualClock} from '@skylarkfield/base';
import type {MoveState} from '@skylarkfield/moves';
import type {Rollout} from '@skylarkfield/traffic';
import {createMirror} from '../mirror.js';
import {createRolloutMoves} from '../rolloutMoves.js';

const PERIOD_MS = 12_000;

function setUp() {
  const clock = virtualClock(1_800_000_000_000);
  const mirror = createMirror<Rollout>({
    kind: 'rollouts',
    clock,
    log: silentLogger(),
  });
  const moves = createRolloutMoves(mirror, clock);
  let revision = 0;
  function order(change: Partial<Rollout> = {}) {
    revision += 1;
    const value = {
      service: 'chat',
      target: 'v2',
      periodMs: PERIOD_MS,
      state: undefined,
      stateTarget: undefined,
      ...change,
    };
    mirror.applyListing(
      {revision, items: [{name: 'chat', revision, value}]},
      {monotonicMs: clock.now(), wallMs: clock.wall()},
    );
  }
  return {clock, moves, order};
}

function stateOf(phase: MoveState['phase'], startedAt?: number): MoveState {
  return {
    move: 'chat.v2',
    phase,
    share: 0,
    orderShare: 0,
    why: '',
    confidence: 0,
    changedAt: 0,
    ...(startedAt !== undefined && {startedAt}),
  };
}

describe('rollouts as moves', () => {
  it('has one open move for an order, and none once it is settled', () => {
    const {moves, order} = setUp();
    assert.equal(moves.hasOpen(), false);
    order();
    assert.deepEqual(
      moves.records.list('move').map(({name, from, to}) => [name, from, to]),
      [['chat.v2', 'incumbent', 'candidate']],
    );
    assert.ok(moves.isOpen('chat'));
    order({state: 'done', stateTarget: 'v2'});
    assert.equal(moves.hasOpen(), false);
  });

  it('opens again for another target under the same name', () => {
    const {moves, order} = setUp();
    order({state: 'rolled-back', stateTarget: 'v2'});
    assert.equal(moves.hasOpen(), false);
    order({target: 'v3', state: 'rolled-back', stateTarget: 'v2'});
    assert.equal(moves.records.list('move')[0]?.name, 'chat.v3');
  });

  it('says done shortly before the deadline only', () => {
    // The old endpoints stop the moment that a rollout is said to be done. Said
    // as soon as traffic has moved, answers still running there would break off.
    const {clock, moves, order} = setUp();
    order();
    const finished = [stateOf('finished')];
    clock.advanceSync(PERIOD_MS / 2);
    assert.deepEqual(
      moves.pendingUpdates(finished).map(({state}) => state),
      ['running'],
    );
    clock.advanceSync(PERIOD_MS / 2 - 500);
    assert.deepEqual(
      moves.pendingUpdates(finished).map(({state}) => state),
      ['done'],
    );
  });

  it('says at once that a version was taken back, and only once', () => {
    const {moves, order} = setUp();
    order();
    const states = [stateOf('taken-back')];
    assert.deepEqual(moves.pendingUpdates(states), [
      {name: 'chat', target: 'v2', state: 'rolled-back'},
    ]);
    order({state: 'rolled-back', stateTarget: 'v2'});
    assert.deepEqual(moves.pendingUpdates(states), []);
  });

  it('counts the time from the start that an earlier process has noted', () => {
    // The process that judged a rollout dies, and its successor has started in
    // the middle of it. Counted from its own start the deadline would pass.
    const {clock, moves, order} = setUp();
    order();
    const startedAt = clock.wall() - 5_000;
    moves.noteStates([stateOf('proving', startedAt)]);
    assert.equal(
      moves.records.list('move')[0]?.deadline,
      startedAt + PERIOD_MS,
    );
  });
});
