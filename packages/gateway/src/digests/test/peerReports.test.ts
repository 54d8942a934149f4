import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualClock} from '@skylarkfield/base';
import {createPeerReports} from '../peerReports.js';

const REPORTER_TIMEOUT_MS = 1_200;

const status = {
  revision: 0,
  changedAt: 0,
  confirmedAgoMs: -1,
  isReader: false,
};

function createDigest(scope: 'own' | 'domain' | 'rest', failureDomain: string) {
  return {
    scope,
    failureDomain,
    incarnation: 1,
    stamp: 0,
    wallMs: 0,
    mirrors: {policy: status, endpoints: status, rollouts: status},
    used: {},
    usage: {},
    loads: {},
    work: {},
    outcomes: {},
  };
}

function setUp() {
  const clock = createVirtualClock();
  const reports = createPeerReports({
    clock,
    failureDomain: 'a',
    reporterTimeoutMs: REPORTER_TIMEOUT_MS,
    quotaWindowMs: 8_000,
  });
  return {clock, reports};
}

describe('age of peer reports', () => {
  // Guards against a report that is taken for newer than it is.
  it('counts from a time before the report was sent', () => {
    const {clock, reports} = setUp();
    assert.equal(reports.reportAgeMs('b1', 'b'), Infinity);
    clock.advanceSync(2_000);
    reports.acceptDigest('b1', createDigest('own', 'b'), clock.now() - 700);
    clock.advanceSync(100);
    assert.equal(reports.reportAgeMs('b1', 'b'), 800);
  });

  it('allows for the time in which a relay gets the reports of others', () => {
    const {clock, reports} = setUp();
    reports.acceptDigest('b1', createDigest('domain', 'b'));
    clock.advanceSync(100);
    assert.equal(reports.reportAgeMs('b1', 'b'), 100);
    assert.equal(reports.reportAgeMs('b2', 'b'), 100 + REPORTER_TIMEOUT_MS);
  });

  it('tells which entries have stopped to report', () => {
    const {clock, reports} = setUp();
    reports.acceptDigest('b1', createDigest('own', 'b'));
    assert.ok(!reports.isSilent('b1'));
    assert.ok(!reports.isSilent('never-heard'));
    clock.advanceSync(REPORTER_TIMEOUT_MS);
    assert.ok(reports.isSilent('b1'));
    // Behind a relay, an entry does not hear the others itself.
    reports.acceptDigest('a1', createDigest('rest', 'a'));
    assert.ok(!reports.isSilent('b1'));
  });
});
