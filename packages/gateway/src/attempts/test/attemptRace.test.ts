import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createAttemptRace, type RivalOrder} from '../attemptRace.js';

/** Enters an attempt and records which rivals supersede it. */
function enter(race: ReturnType<typeof createAttemptRace>) {
  const rivals: RivalOrder[] = [];
  const entry = race.enter();
  entry.onDidSupersede(rival => rivals.push(rival));
  return {...entry, rivals};
}

describe('attempt race', () => {
  it('lets an attempt that leads supersede all others', () => {
    const race = createAttemptRace();
    const [first, second, third] = [enter(race), enter(race), enter(race)];
    second.lead();
    assert.deepEqual(first.rivals, ['later']);
    assert.deepEqual(third.rivals, ['earlier']);
    assert.ok(!second.isSuperseded());
  });

  // Guards against two attempts that pass on events of one stream in turn.
  it('lets no superseded attempt lead again', () => {
    const race = createAttemptRace();
    const [first, second] = [enter(race), enter(race)];
    second.lead();
    first.lead();
    assert.ok(first.isSuperseded());
    assert.deepEqual(second.rivals, []);
  });
});
