import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {decisionLog, silentLogger, virtualClock} from '@skylarkfield/base';
import type {Move} from '@skylarkfield/records';
import {createTrafficSplit, type MoveState} from '../index.js';

const move: Move = {
  name: 'booking-2',
  service: 'booking',
  from: 'v1',
  to: 'v2',
  deadline: 1_800_000_600_000,
  maxUnprovenShare: 0.1,
};

function state(share: number, orderShare = 0): MoveState {
  return {
    move: move.name,
    phase: 'proving',
    share,
    orderShare,
    why: '',
    confidence: 0,
    changedAt: 0,
  };
}

function entry(share: number) {
  return entryWith(share).split;
}

function entryWith(share: number) {
  const clock = virtualClock();
  const decisions = decisionLog(clock, silentLogger());
  const split = createTrafficSplit({clock, decisions});
  split.setMoves([move]);
  split.setStates([state(share)]);
  return {split, clock};
}

function request(session: string, isIdempotent = true) {
  return {service: 'booking', incumbent: 'v1', session, isIdempotent};
}

const sessions = Array.from({length: 2000}, (_, index) => `session-${index}`);

describe('traffic split', () => {
  it('gives a session the same version on every entry', () => {
    const [a, b] = [entry(0.3), entry(0.3)];
    for (const session of sessions) {
      assert.equal(
        a.versionFor(request(session)),
        b.versionFor(request(session)),
      );
    }
  });

  it('gives the candidate about its share, and orders only the order share', () => {
    const split = entry(0.1);
    const taken = sessions.filter(
      session => split.versionFor(request(session)) === 'v2',
    );
    assert.ok(taken.length > 150 && taken.length < 250, `${taken.length}`);
    for (const session of sessions) {
      assert.equal(split.versionFor(request(session, false)), 'v1');
    }
  });

  it('does not cut a candidate whose few requests pay for cold connections', () => {
    // A small share means seldom used connections: each candidate request costs
    // a millisecond more on a route that takes two. A good version would be
    // taken back for what its own small share causes.
    const {split, clock} = entryWith(0.1);
    for (let count = 0; count < 20_000; count++) {
      const version = split.versionFor(request(`s${count}`));
      split.observe({
        service: 'booking',
        version,
        route: 'confirm',
        isError: false,
        latencyMs: (version === 'v2' ? 3 : 2) + (count % 5) / 10,
        loadFraction: 0,
      });
      clock.advanceSync(10);
    }
    const versions = sessions.map(id => split.versionFor(request(id)));
    assert.ok(versions.includes('v2'));
  });

  it('never follows a state back from taken back', () => {
    // A late word from a slow watch or from another entry still has the share of
    // a move that has been taken back. Callers would meet the bad version again.
    const split = entry(0.5);
    const later = {...state(0.5), changedAt: 2};
    split.setStates([{...state(0), phase: 'taken-back', changedAt: 1}]);
    split.setStates([later]);
    const versions = sessions.map(id => split.versionFor(request(id)));
    assert.ok(!versions.includes('v2'));
  });

  it('gives a cut candidate nothing, whatever the states say', () => {
    // Another entry saw the candidate fail and says so before the durable
    // state is written. Callers would get failing answers until the platform
    // has it, which may be a long outage away.
    const split = entry(1);
    split.applyCut(move.name, 'errors');
    split.setStates([state(1)]);
    assert.equal(split.versionFor(request('a')), 'v1');
  });
});
