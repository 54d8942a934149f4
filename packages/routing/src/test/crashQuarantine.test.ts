import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  decisionLog,
  rendezvousOrder,
  silentLogger,
  virtualClock,
} from '@skylarkfield/base';
import {CRASH_TTL_MS, createCrashQuarantine} from '../crashQuarantine.js';
import type {CrashReport} from '../crashEvidence.js';

const REQUEST = 'f00d';
const CONFIRMATION_DELAY_MS = 300;

function createEntry(self = 'a1', clock = virtualClock()) {
  const crashQuarantine = createCrashQuarantine({
    clock,
    self,
    decisions: decisionLog(clock, silentLogger()),
    wallMs: () => clock.wall(),
  });
  return {
    clock,
    crashQuarantine,
    verdict: (request = REQUEST) => crashQuarantine.verdictFor(request).type,
    /** Crashes endpoints one after the other while they run a request. */
    crash(endpoints: readonly string[], gapMs = 2_000, request = REQUEST) {
      for (const endpoint of endpoints) {
        crashQuarantine.recordConnectionLost({request, endpoint});
        clock.advanceSync(gapMs);
      }
    },
  };
}

describe('suspected requests', () => {
  it('are quarantined from the third crash on', () => {
    const {crash, verdict, crashQuarantine} = createEntry();
    assert.equal(verdict(), 'clear');
    crash(['e1']);
    assert.equal(verdict(), 'suspected');
    crash(['e2']);
    assert.equal(verdict(), 'suspected');
    crashQuarantine.recordConnectionLost({request: REQUEST, endpoint: 'e3'});
    assert.equal(verdict(), 'quarantined');
    assert.equal(verdict('another'), 'clear');
  });

  it('count each crashed endpoint once for all entries that report it', () => {
    const {crash, verdict, crashQuarantine, clock} = createEntry();
    crash(['e1', 'e2']);
    const seen = {request: REQUEST, endpoint: 'e2', atMs: clock.wall()};
    crashQuarantine.setStoredReport('a2', {crashes: [seen], served: {}});
    crashQuarantine.mergeGossip({crashes: [seen], served: {}});
    assert.equal(verdict(), 'suspected');
  });

  // A popular request must not be rejected because it ran on endpoints that
  // crashed for other reasons.
  it('are cleared by a complete response at all informed entries', () => {
    const one = createEntry('a1');
    const other = createEntry('a2', one.clock);
    one.crash(['e1', 'e2', 'e3']);
    other.crashQuarantine.setStoredReport(
      'a1',
      one.crashQuarantine.reportToStore(),
    );
    assert.equal(other.verdict(), 'quarantined');
    one.crashQuarantine.recordCompleted(REQUEST);
    assert.equal(one.verdict(), 'clear');
    other.crashQuarantine.setStoredReport(
      'a1',
      one.crashQuarantine.reportToStore(),
    );
    assert.equal(other.verdict(), 'clear');
  });

  it('are not suspected if the endpoint answers a later request', () => {
    const {crashQuarantine, clock, verdict} = createEntry();
    crashQuarantine.recordConnectionLost({request: REQUEST, endpoint: 'e1'});
    clock.advanceSync(CONFIRMATION_DELAY_MS / 2);
    crashQuarantine.recordResponse('e1', clock.now());
    clock.advanceSync(CONFIRMATION_DELAY_MS);
    assert.equal(verdict(), 'clear');
    assert.deepEqual(crashQuarantine.reportToStore().crashes, []);
  });

  it('stay suspected if the endpoint answers an earlier request only', () => {
    const {crashQuarantine, clock, verdict} = createEntry();
    const sentAt = clock.now();
    clock.advanceSync(10);
    crashQuarantine.recordConnectionLost({request: REQUEST, endpoint: 'e1'});
    crashQuarantine.recordResponse('e1', sentAt);
    assert.equal(verdict(), 'suspected');
  });

  // A slow endpoint must not be taken for a crashed one.
  it('are suspected once an unresponsive endpoint is deregistered', () => {
    const {crashQuarantine, clock, verdict} = createEntry();
    crashQuarantine.recordUnanswered({request: REQUEST, endpoint: 'e1'});
    clock.advanceSync(3_000);
    assert.equal(verdict(), 'clear');
    crashQuarantine.recordDeregistered('e1');
    assert.equal(verdict(), 'suspected');
  });

  it('are suspected if a deregistered endpoint does not respond', () => {
    const {crashQuarantine, verdict} = createEntry();
    crashQuarantine.recordDeregistered('e1');
    crashQuarantine.recordUnanswered({request: REQUEST, endpoint: 'e1'});
    assert.equal(verdict(), 'suspected');
  });

  // Registrations can lapse while the platform's store is down.
  it('are not suspected if a deregistered endpoint answered since', () => {
    const {crashQuarantine, clock, verdict} = createEntry();
    crashQuarantine.recordDeregistered('e1');
    crashQuarantine.recordResponse('e1', clock.now());
    crashQuarantine.recordUnanswered({request: REQUEST, endpoint: 'e1'});
    assert.equal(verdict(), 'clear');
  });

  it('fire a change once a crash is confirmed', () => {
    const {crashQuarantine, clock} = createEntry();
    let fired = 0;
    crashQuarantine.onDidChange(() => (fired += 1));
    crashQuarantine.recordConnectionLost({request: REQUEST, endpoint: 'e1'});
    assert.equal(fired, 0);
    clock.advanceSync(CONFIRMATION_DELAY_MS);
    assert.equal(fired, 1);
    assert.equal(crashQuarantine.reportToStore().crashes.length, 1);
  });

  it('are gossiped until they are stored, and for a while after that', () => {
    const {crashQuarantine, crash, clock} = createEntry();
    assert.equal(crashQuarantine.reportToGossip(), undefined);
    crash(['e1'], CONFIRMATION_DELAY_MS);
    clock.advanceSync(60_000);
    assert.equal(crashQuarantine.reportToGossip()?.crashes.length, 1);
    crashQuarantine.recordStored(crashQuarantine.reportToStore());
    assert.equal(crashQuarantine.reportToGossip(), undefined);
    crash(['e2'], CONFIRMATION_DELAY_MS);
    crashQuarantine.recordStored(crashQuarantine.reportToStore());
    assert.equal(crashQuarantine.reportToGossip()?.crashes.length, 1);
    clock.advanceSync(1_500);
    assert.equal(crashQuarantine.reportToGossip(), undefined);
  });

  it('are cleared locally if only one crash is known', () => {
    const {crashQuarantine, crash, verdict} = createEntry();
    crash(['e1']);
    crashQuarantine.recordStored(crashQuarantine.reportToStore());
    crashQuarantine.recordCompleted(REQUEST);
    assert.equal(verdict(), 'clear');
    assert.equal(crashQuarantine.reportToGossip(), undefined);
  });

  it('are suspected again for a crash after the complete response', () => {
    const {crashQuarantine, crash, clock, verdict} = createEntry();
    crash(['e1', 'e2', 'e3']);
    crashQuarantine.recordCompleted(REQUEST);
    clock.advanceSync(1);
    crash(['e4']);
    assert.equal(verdict(), 'suspected');
  });

  it('are restored from the report that the entry stored', () => {
    const before = createEntry();
    before.crash(['e1', 'e2', 'e3']);
    const after = createEntry('a1', before.clock);
    after.crashQuarantine.restoreOwnReport(
      before.crashQuarantine.reportToStore(),
    );
    assert.equal(after.verdict(), 'quarantined');
    assert.equal(after.crashQuarantine.reportToStore().crashes.length, 3);
  });

  it('are cleared when the stored reports are deleted', () => {
    const {crashQuarantine, crash, verdict, clock} = createEntry();
    crash(['e1', 'e2']);
    const seen = {request: REQUEST, endpoint: 'e3', atMs: clock.wall()};
    crashQuarantine.setStoredReport('a2', {crashes: [seen], served: {}});
    assert.equal(verdict(), 'quarantined');
    crashQuarantine.removeStoredReport('a2');
    assert.equal(verdict(), 'suspected');
    crashQuarantine.removeStoredReport('a1');
    assert.equal(verdict(), 'clear');
  });
});

describe('a quarantine', () => {
  it('is short if all endpoints crashed at once', () => {
    const {crash, crashQuarantine, clock} = createEntry();
    crash(['e1', 'e2', 'e3'], 0);
    const verdict = crashQuarantine.verdictFor(REQUEST);
    assert.ok(verdict.type === 'quarantined');
    assert.ok(verdict.retryAfterMs <= 10_000);
    clock.advanceSync(10_000);
    assert.equal(crashQuarantine.verdictFor(REQUEST).type, 'trial');
  });

  it('lasts until the crashes expire if they came one by one', () => {
    const {crash, verdict, clock} = createEntry();
    crash(['e1', 'e2', 'e3']);
    clock.advanceSync(CRASH_TTL_MS - 10_000);
    assert.equal(verdict(), 'quarantined');
    clock.advanceSync(10_000);
    assert.equal(verdict(), 'clear');
  });

  // Otherwise each entry would run a trial of its own.
  it('ends with a trial of one request at one entry', () => {
    const clock = virtualClock();
    const ids = ['a1', 'a2', 'a3'];
    const entries = ids.map(id => createEntry(id, clock));
    const atMs = clock.wall();
    const crashes = ['e1', 'e2', 'e3'].map(endpoint => ({
      request: REQUEST,
      endpoint,
      atMs,
    }));
    for (const {crashQuarantine} of entries) {
      crashQuarantine.setEntries(ids);
      crashQuarantine.mergeGossip({crashes, served: {}});
    }
    clock.advanceSync(10_000);
    const [owner] = rendezvousOrder(REQUEST, ids);
    entries.forEach(({verdict}, index) =>
      assert.equal(verdict(), ids[index] === owner ? 'trial' : 'quarantined'),
    );
    const trialEntry = entries[ids.indexOf(owner!)]!;
    trialEntry.crashQuarantine.beginTrial(REQUEST);
    assert.equal(trialEntry.verdict(), 'quarantined');
    trialEntry.crash(['e4']);
    clock.advanceSync(10_000);
    assert.equal(trialEntry.verdict(), 'quarantined');
  });

  it('ends with a trial that is served', () => {
    const {crash, crashQuarantine, clock, verdict} = createEntry();
    crash(['e1', 'e2', 'e3'], 0);
    clock.advanceSync(10_000);
    crashQuarantine.beginTrial(REQUEST);
    crashQuarantine.recordCompleted(REQUEST);
    assert.equal(verdict(), 'clear');
  });
});

describe('crash evidence', () => {
  // A caller may generate any number of distinct crashing requests.
  it('is bounded, and keeps the requests with the most crashes', () => {
    const {crash, crashQuarantine, verdict} = createEntry();
    crash(['e1', 'e2', 'e3'], 1_100);
    for (let index = 0; index < 1_000; index++) {
      crash([`x${index}`], CONFIRMATION_DELAY_MS, `generated ${index}`);
    }
    assert.ok(crashQuarantine.reportToStore().crashes.length <= 100);
    assert.equal(verdict(), 'quarantined');
  });

  it('is bounded for gossip', () => {
    const {crashQuarantine, clock} = createEntry();
    const report = (index: number): CrashReport => ({
      crashes: [
        {request: `r${index}`, endpoint: `x${index}`, atMs: clock.wall()},
      ],
      served: {},
    });
    for (let index = 0; index < 1_200; index++) {
      crashQuarantine.mergeGossip(report(index));
    }
    assert.equal(
      (crashQuarantine.dump() as {requests: number}).requests,
      1_000,
    );
  });
});
