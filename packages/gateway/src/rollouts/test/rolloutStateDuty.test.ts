import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createSilentLogger,
  createVirtualClock,
  ServingError,
  settlePromises,
} from '@skylarkfield/base';
import {createStoreRevision} from '@skylarkfield/providers';
import type {Rollout, RolloutState} from '@skylarkfield/traffic';
import {createMirror} from '../../mirrors/mirror.js';
import {retentionRules} from '../../mirrors/retentionRules.js';
import {createRolloutMoves} from '../rolloutMoves.js';
import {startRolloutStateDuty} from '../rolloutStateDuty.js';

const PERIOD_MS = 12_000;
const ORDER: Rollout = {
  service: 'chat',
  target: 'v2',
  periodMs: PERIOD_MS,
  state: undefined,
  stateTarget: undefined,
};

function withState(state: RolloutState): Rollout {
  return {...ORDER, state, stateTarget: ORDER.target};
}

function setUp() {
  const clock = createVirtualClock(1_800_000_000_000);
  const log = createSilentLogger();
  const mirror = createMirror<Rollout>({
    kind: 'rollouts',
    clock,
    log,
    rule: retentionRules.rollouts,
  });
  const writes: string[] = [];
  let isStoreDown = false;
  let isValid = true;
  startRolloutStateDuty({
    term: {isValid: () => isValid, signal: new AbortController().signal},
    rollouts: mirror,
    async writeRolloutState(name, target, state) {
      writes.push(`${name} ${target} ${state}`);
      if (isStoreDown) {
        throw new ServingError('platform-unavailable', 'down');
      }
    },
    clock,
    log,
  });

  /** Lists the store's rollouts, with one object at most. */
  function list(era: number, revision: number, value: Rollout | undefined) {
    const position = createStoreRevision(era, revision);
    const items =
      value === undefined ? [] : [{name: 'chat', revision: position, value}];
    mirror.applyListing(
      {revision: position, items},
      {monotonicMs: clock.now(), wallMs: clock.wall()},
    );
  }

  async function advance(durationMs: number) {
    await clock.advance(durationMs);
    await settlePromises();
  }

  return {
    clock,
    mirror,
    writes,
    list,
    advance,
    setStoreDown: (isDown: boolean) => (isStoreDown = isDown),
    endTerm: () => (isValid = false),
  };
}

describe('duty of lost rollout states', () => {
  for (const state of ['rolled-back', 'done'] as const) {
    // Guards against a final state that is lost since its rollout is no longer in progress.
    it(`writes the state ${state} again, once`, async () => {
      const {writes, list, advance} = setUp();
      list(0, 1, ORDER);
      list(0, 2, withState(state));
      await advance(2_000);
      assert.deepEqual(writes, []);
      list(1, 1, ORDER);
      await advance(2_000);
      assert.deepEqual(writes, [`chat v2 ${state}`]);
      list(1, 2, withState(state));
      await advance(30_000);
      assert.equal(writes.length, 1);
    });
  }

  // Guards against a state that replaces the state of an earlier target.
  it('waits until the operator has written the rollout again', async () => {
    const {writes, list, advance} = setUp();
    list(0, 1, {...withState('done'), target: 'v1', stateTarget: 'v1'});
    list(0, 3, withState('rolled-back'));
    list(1, 1, {...withState('done'), target: 'v1', stateTarget: 'v1'});
    await advance(1_500);
    assert.deepEqual(writes, []);
    list(1, 2, ORDER);
    await advance(1_000);
    assert.deepEqual(writes, ['chat v2 rolled-back']);
  });

  // Guards against calls to a store that is down in quick succession.
  it('tries again at a bounded rate', async () => {
    const {writes, list, advance, setStoreDown} = setUp();
    list(0, 2, withState('rolled-back'));
    list(1, 1, ORDER);
    setStoreDown(true);
    await advance(10_000);
    assert.ok(writes.length >= 5 && writes.length <= 11, `${writes.length}`);
    setStoreDown(false);
    await advance(2_000);
    const writeCount = writes.length;
    list(1, 2, withState('rolled-back'));
    await advance(30_000);
    assert.equal(writes.length, writeCount);
  });

  // Guards against writes of an entry that has lost the duty.
  it('writes nothing after its term', async () => {
    const {writes, list, advance, endTerm} = setUp();
    list(0, 2, withState('rolled-back'));
    endTerm();
    list(1, 1, ORDER);
    await advance(5_000);
    assert.deepEqual(writes, []);
  });
});

describe('a rollout that the store lost', () => {
  // Guards against rollouts that start anew or are withdrawn until the operator writes them again.
  it('stays in progress with the same deadline', async () => {
    const {clock, mirror, list, advance} = setUp();
    const moves = createRolloutMoves(mirror, clock);
    list(0, 1, undefined);
    list(0, 2, withState('running'));
    const [moveBefore] = moves.moveRecords.list('move');
    let hasEnded = false;
    moves.onDidChange(() => (hasEnded ||= !moves.hasOpenRollouts()));
    await advance(3_000);
    list(1, 1, undefined);
    await advance(1_500);
    assert.deepEqual(moves.moveRecords.list('move'), [moveBefore]);
    list(1, 2, ORDER);
    await advance(1_000);
    assert.deepEqual(moves.moveRecords.list('move'), [moveBefore]);
    assert.equal(hasEnded, false);
  });

  // Guards against a lost state that stays unwritten since the mirror still has it.
  it('has its state published again once the store has the rollout', () => {
    const {clock, mirror, list} = setUp();
    const moves = createRolloutMoves(mirror, clock);
    const states = [
      {
        move: 'chat.v2',
        phase: 'proving',
        share: 0,
        orderShare: 0,
        why: '',
        confidence: 0,
        changedAt: 0,
      },
    ] as const;
    list(0, 2, withState('running'));
    assert.deepEqual(moves.unpublishedUpdates(states), []);
    list(1, 1, undefined);
    assert.deepEqual(moves.unpublishedUpdates(states), []);
    list(1, 2, ORDER);
    assert.deepEqual(moves.unpublishedUpdates(states), [
      {name: 'chat', target: 'v2', state: 'running'},
    ]);
    list(1, 3, withState('running'));
    assert.deepEqual(moves.unpublishedUpdates(states), []);
  });
});
