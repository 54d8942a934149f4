import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSilentLogger, createVirtualClock} from '@skylarkfield/base';
import type {MoveState} from '@skylarkfield/moves';
import type {Rollout} from '@skylarkfield/traffic';
import {createMirror} from '../../mirrors/mirror.js';
import {createRolloutMoves} from '../rolloutMoves.js';

const PERIOD_MS = 12_000;

function setUp() {
  const clock = createVirtualClock(1_800_000_000_000);
  const mirror = createMirror<Rollout>({
    kind: 'rollouts',
    clock,
    log: createSilentLogger(),
  });
  const moves = createRolloutMoves(mirror, clock);
  let revision = 0;
  function setRollout(overrides: Partial<Rollout> = {}) {
    revision += 1;
    const value = {
      service: 'chat',
      target: 'v2',
      periodMs: PERIOD_MS,
      state: undefined,
      stateTarget: undefined,
      ...overrides,
    };
    mirror.applyListing(
      {revision, items: [{name: 'chat', revision, value}]},
      {monotonicMs: clock.now(), wallMs: clock.wall()},
    );
  }
  return {clock, moves, setRollout};
}

function createMoveState(
  phase: MoveState['phase'],
  startedAt?: number,
): MoveState {
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
  it('lists a move for a rollout until the rollout is done', () => {
    const {moves, setRollout} = setUp();
    assert.equal(moves.hasOpenRollouts(), false);
    setRollout();
    assert.deepEqual(
      moves.moveRecords
        .list('move')
        .map(({name, from, to}) => [name, from, to]),
      [['chat.v2', 'incumbent', 'candidate']],
    );
    assert.ok(moves.isRollingOut('chat'));
    setRollout({state: 'done', stateTarget: 'v2'});
    assert.equal(moves.hasOpenRollouts(), false);
  });

  it('opens a new move if a rolled-back rollout gets another target', () => {
    const {moves, setRollout} = setUp();
    setRollout({state: 'rolled-back', stateTarget: 'v2'});
    assert.equal(moves.hasOpenRollouts(), false);
    setRollout({target: 'v3', state: 'rolled-back', stateTarget: 'v2'});
    assert.equal(moves.moveRecords.list('move')[0]?.name, 'chat.v3');
  });

  it('reports a finished move as done only shortly before the deadline', () => {
    // The old endpoints are terminated as soon as a rollout is reported done. A
    // report right after traffic has moved would cut off the responses that are
    // still running at these endpoints.
    const {clock, moves, setRollout} = setUp();
    setRollout();
    const finishedStates = [createMoveState('finished')];
    clock.advanceSync(PERIOD_MS / 2);
    assert.deepEqual(
      moves.unpublishedUpdates(finishedStates).map(({state}) => state),
      ['running'],
    );
    clock.advanceSync(PERIOD_MS / 2 - 500);
    assert.deepEqual(
      moves.unpublishedUpdates(finishedStates).map(({state}) => state),
      ['done'],
    );
  });

  it('reports a rollback immediately and only once', () => {
    const {moves, setRollout} = setUp();
    setRollout();
    const states = [createMoveState('taken-back')];
    assert.deepEqual(moves.unpublishedUpdates(states), [
      {name: 'chat', target: 'v2', state: 'rolled-back'},
    ]);
    setRollout({state: 'rolled-back', stateTarget: 'v2'});
    assert.deepEqual(moves.unpublishedUpdates(states), []);
  });

  it('measures the deadline from the start that an earlier process recorded', () => {
    // The process that evaluates a rollout fails, and its successor starts in
    // the middle of the rollout. A deadline measured from the start of the
    // successor would be too late.
    const {clock, moves, setRollout} = setUp();
    setRollout();
    const startedAt = clock.wall() - 5_000;
    moves.recordStates([createMoveState('proving', startedAt)]);
    assert.equal(
      moves.moveRecords.list('move')[0]?.deadline,
      startedAt + PERIOD_MS,
    );
  });
});
