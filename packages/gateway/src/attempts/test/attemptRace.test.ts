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

  // Guards against giving up the only attempt that can complete a response.
  it('keeps the others if an attempt leads provisionally', () => {
    const race = createAttemptRace();
    const [first, second] = [enter(race), enter(race)];
    second.leadProvisionally();
    assert.ok(!first.isSuperseded());
    first.lead();
    assert.deepEqual(second.rivals, ['earlier']);
    second.leadProvisionally();
    assert.ok(!first.isSuperseded());
  });

  // Guards against two endpoints that work on one stream, neither of which can complete it.
  it('keeps one of two attempts that lead provisionally', () => {
    const race = createAttemptRace();
    const [first, second, third] = [enter(race), enter(race), enter(race)];
    first.leadProvisionally();
    second.leadProvisionally();
    assert.deepEqual(first.rivals, ['later']);
    assert.ok(!second.isSuperseded());
    assert.ok(!third.isSuperseded());
  });
});
