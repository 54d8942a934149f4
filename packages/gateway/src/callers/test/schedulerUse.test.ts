import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualClock} from '@skylarkfield/base';
import {callerLeavesAt} from '../callerDeparture.js';
import {createSchedulerUse} from '../schedulerUse.js';

const DEADLINE_AT = 1_000;

describe('createSchedulerUse', () => {
  function createUse(part: number, contended: readonly string[] = []) {
    return createSchedulerUse({
      clock: createVirtualClock(),
      isScheduled: service => service !== 'unscheduled',
      isModel: service => service === 'model',
      isContended: service => contended.includes(service),
      equalPart: () => part,
    });
  }

  // Guards against requests held back at an entry whose part is smaller than the groups in which they arrive.
  it('asks for each request where the part of an entry is below three slots', () => {
    const asks = [0, 2, 3].map(part =>
      createUse(part).asks('plain', DEADLINE_AT, 0),
    );
    assert.deepEqual(asks, [true, true, false]);
  });

  // Guards against model requests sent to slow engines without asking, and messages for plain ones where there is room.
  it('asks for models, above the part and for contended services', () => {
    const use = createUse(8, ['busy']);
    assert.ok(use.asks('model', DEADLINE_AT, 0));
    assert.ok(use.asks('busy', DEADLINE_AT, 0));
    assert.ok(use.asks('plain', DEADLINE_AT, 8));
    assert.ok(!use.asks('plain', DEADLINE_AT, 7));
    assert.ok(!use.asks('unscheduled', DEADLINE_AT, 9));
    assert.ok(!use.asks('model', 0, 0));
  });
});

describe('callerLeavesAt', () => {
  // Guards against streams that wait for an engine after their caller has left.
  it('is the longest silence that the caller of a stream tolerates', () => {
    const leavesAt = (goalMs: number, longestPauseMs: number) =>
      callerLeavesAt({kind: 'streaming', goalMs, longestPauseMs}, 100, 12_100);
    assert.deepEqual(
      [leavesAt(400, 0), leavesAt(1_500, 300), leavesAt(600, 800)],
      [2_100, 6_100, 6_500],
    );
    const plain = {kind: 'idempotent', goalMs: 120, longestPauseMs: 0} as const;
    assert.equal(callerLeavesAt(plain, 100, 1_100), 1_100);
    assert.equal(callerLeavesAt({...plain, kind: 'streaming'}, 0, 900), 900);
  });
});
