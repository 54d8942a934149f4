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
  function setRollout(change: Partial<Rollout> = {}) {
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
  return {clock, moves, setRollout};
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

describe('rollout moves', () => {
  it('has a move for a rollout until it is settled', () => {
    const {moves, setRollout} = setUp();
    assert.equal(moves.hasOpen(), false);
    setRollout();
    assert.deepEqual(
      moves.records.list('move').map(({name, from, to}) => [name, from, to]),
      [['chat.v2', 'incumbent', 'candidate']],
    );
    assert.ok(moves.isOpen('chat'));
    setRollout({state: 'done', stateTarget: 'v2'});
    assert.equal(moves.hasOpen(), false);
  });

  it('opens a new move for another target under the same name', () => {
    const {moves, setRollout} = setUp();
    setRollout({state: 'rolled-back', stateTarget: 'v2'});
    assert.equal(moves.hasOpen(), false);
    setRollout({target: 'v3', state: 'rolled-back', stateTarget: 'v2'});
    assert.equal(moves.records.list('move')[0]?.name, 'chat.v3');
  });

  it('reports done only shortly before the deadline', () => {
    // The old endpoints are terminated the moment a rollout is reported done.
    // Reported as soon as traffic has moved, it would cut off the responses
    // still running there.
    const {clock, moves, setRollout} = setUp();
    setRollout();
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

  it('reports a rollback at once, and only once', () => {
    const {moves, setRollout} = setUp();
    setRollout();
    const states = [stateOf('taken-back')];
    assert.deepEqual(moves.pendingUpdates(states), [
      {name: 'chat', target: 'v2', state: 'rolled-back'},
    ]);
    setRollout({state: 'rolled-back', stateTarget: 'v2'});
    assert.deepEqual(moves.pendingUpdates(states), []);
  });

  it('measures the deadline from the start that an earlier process recorded', () => {
    // The process that evaluated a rollout fails, and its successor starts in
    // the middle. Measured from its own start, the deadline would be missed.
    const {clock, moves, setRollout} = setUp();
    setRollout();
    const startedAt = clock.wall() - 5_000;
    moves.recordStates([stateOf('proving', startedAt)]);
    assert.equal(
      moves.records.list('move')[0]?.deadline,
      startedAt + PERIOD_MS,
    );
  });
});
