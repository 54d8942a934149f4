import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createDecisionLog,
  rendezvousOrder,
  createSilentLogger,
  createVirtualClock,
} from '@skylarkfield/base';
import type {CrashReport} from '../crashEvidence.js';
import {createCrashQuarantine} from '../crashQuarantine.js';
import {CRASH_TTL_MS} from '../crashVerdict.js';

const REQUEST = 'f00d';
const CONFIRMATION_DELAY_MS = 300;

function createEntry(self = 'a1', clock = createVirtualClock()) {
  const crashQuarantine = createCrashQuarantine({
    clock,
    self,
    decisions: createDecisionLog(clock, createSilentLogger()),
    wallMs: () => clock.wall(),
  });
  return {
    clock,
    crashQuarantine,
    verdictType: (request = REQUEST) =>
      crashQuarantine.verdictFor(request).type,
    /**
     * Records crashes of endpoints under a request, at intervals of `gapMs`.
     */
    crashEndpoints(
      endpoints: readonly string[],
      gapMs = 2_000,
      request = REQUEST,
    ) {
      for (const endpoint of endpoints) {
        crashQuarantine.recordConnectionLost({request, endpoint});
        clock.advanceSync(gapMs);
      }
    },
  };
}

describe('suspected requests', () => {
  it('are quarantined from the third crash on', () => {
    const {
      crashEndpoints: crash,
      verdictType: verdict,
      crashQuarantine,
    } = createEntry();
    assert.equal(verdict(), 'clear');
    crash(['e1']);
    assert.equal(verdict(), 'suspected');
    crash(['e2']);
    assert.equal(verdict(), 'suspected');
    crashQuarantine.recordConnectionLost({request: REQUEST, endpoint: 'e3'});
    assert.equal(verdict(), 'quarantined');
    assert.equal(verdict('another'), 'clear');
  });

  it('count each crashed endpoint once, however many entries report the crash', () => {
    const {
      crashEndpoints: crash,
      verdictType: verdict,
      crashQuarantine,
      clock,
    } = createEntry();
    crash(['e1', 'e2']);
    const reportedCrash = {
      request: REQUEST,
      endpoint: 'e2',
      atMs: clock.wall(),
    };
    crashQuarantine.setStoredReport('a2', {
      crashes: [reportedCrash],
      served: {},
    });
    crashQuarantine.mergeGossip({crashes: [reportedCrash], served: {}});
    assert.equal(verdict(), 'suspected');
  });

  // A popular request must not be rejected because it ran on endpoints that
  // crashed for other reasons.
  it('are cleared by a complete response at every entry that reads it', () => {
    const reporting = createEntry('a1');
    const receiving = createEntry('a2', reporting.clock);
    reporting.crashEndpoints(['e1', 'e2', 'e3']);
    receiving.crashQuarantine.setStoredReport(
      'a1',
      reporting.crashQuarantine.reportToStore(),
    );
    assert.equal(receiving.verdictType(), 'quarantined');
    reporting.crashQuarantine.recordCompleted(REQUEST);
    assert.equal(reporting.verdictType(), 'clear');
    receiving.crashQuarantine.setStoredReport(
      'a1',
      reporting.crashQuarantine.reportToStore(),
    );
    assert.equal(receiving.verdictType(), 'clear');
  });

  it('are not suspected if the endpoint answers a later request', () => {
    const {crashQuarantine, clock, verdictType: verdict} = createEntry();
    crashQuarantine.recordConnectionLost({request: REQUEST, endpoint: 'e1'});
    clock.advanceSync(CONFIRMATION_DELAY_MS / 2);
    crashQuarantine.recordResponse('e1', clock.now());
    clock.advanceSync(CONFIRMATION_DELAY_MS);
    assert.equal(verdict(), 'clear');
    assert.deepEqual(crashQuarantine.reportToStore().crashes, []);
  });

  it('stay suspected if the endpoint answers an earlier request only', () => {
    const {crashQuarantine, clock, verdictType: verdict} = createEntry();
    const sentAt = clock.now();
    clock.advanceSync(10);
    crashQuarantine.recordConnectionLost({request: REQUEST, endpoint: 'e1'});
    crashQuarantine.recordResponse('e1', sentAt);
    assert.equal(verdict(), 'suspected');
  });

  // A slow endpoint must not be taken for a crashed one.
  it('are suspected only once an unresponsive endpoint is deregistered', () => {
    const {crashQuarantine, clock, verdictType: verdict} = createEntry();
    crashQuarantine.recordUnanswered({request: REQUEST, endpoint: 'e1'});
    clock.advanceSync(3_000);
    assert.equal(verdict(), 'clear');
    crashQuarantine.recordDeregistered('e1');
    assert.equal(verdict(), 'suspected');
  });

  it('are suspected if a deregistered endpoint does not respond', () => {
    const {crashQuarantine, verdictType: verdict} = createEntry();
    crashQuarantine.recordDeregistered('e1');
    crashQuarantine.recordUnanswered({request: REQUEST, endpoint: 'e1'});
    assert.equal(verdict(), 'suspected');
  });

  // Registrations can lapse while the platform's store is down.
  it('are not suspected if the endpoint answered after it was deregistered', () => {
    const {crashQuarantine, clock, verdictType: verdict} = createEntry();
    crashQuarantine.recordDeregistered('e1');
    crashQuarantine.recordResponse('e1', clock.now());
    crashQuarantine.recordUnanswered({request: REQUEST, endpoint: 'e1'});
    assert.equal(verdict(), 'clear');
  });

  it('fire a change event once a crash is confirmed', () => {
    const {crashQuarantine, clock} = createEntry();
    let eventCount = 0;
    crashQuarantine.onDidChange(() => (eventCount += 1));
    crashQuarantine.recordConnectionLost({request: REQUEST, endpoint: 'e1'});
    assert.equal(eventCount, 0);
    clock.advanceSync(CONFIRMATION_DELAY_MS);
    assert.equal(eventCount, 1);
    assert.equal(crashQuarantine.reportToStore().crashes.length, 1);
  });

  it('are gossiped until stored, and for 1.5 seconds after a crash', () => {
    const {crashQuarantine, crashEndpoints: crash, clock} = createEntry();
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

  it('are cleared without gossip if only one endpoint crashed', () => {
    const {
      crashQuarantine,
      crashEndpoints: crash,
      verdictType: verdict,
    } = createEntry();
    crash(['e1']);
    crashQuarantine.recordStored(crashQuarantine.reportToStore());
    crashQuarantine.recordCompleted(REQUEST);
    assert.equal(verdict(), 'clear');
    assert.equal(crashQuarantine.reportToGossip(), undefined);
  });

  it('are suspected again for a crash after the complete response', () => {
    const {
      crashQuarantine,
      crashEndpoints: crash,
      clock,
      verdictType: verdict,
    } = createEntry();
    crash(['e1', 'e2', 'e3']);
    crashQuarantine.recordCompleted(REQUEST);
    clock.advanceSync(1);
    crash(['e4']);
    assert.equal(verdict(), 'suspected');
  });

  // Guards against rejecting a popular request, since it ran on all endpoints
  // that another one crashed.
  it('are not quarantined by crashes beside them if they are served often', () => {
    const {
      crashQuarantine,
      crashEndpoints: crash,
      clock,
      verdictType: verdict,
    } = createEntry();
    crash(['e1']);
    crashQuarantine.recordCompleted(REQUEST);
    clock.advanceSync(1);
    crash(['e2', 'e3', 'e4', 'e5'], 300);
    assert.equal(verdict(), 'suspected');
    const restarted = createEntry('a1', clock);
    restarted.crashQuarantine.restoreOwnReport(crashQuarantine.reportToStore());
    assert.equal(restarted.verdictType(), 'suspected');
  });

  it('are quarantined although they were served if they crash on', () => {
    const {
      crashQuarantine,
      crashEndpoints: crash,
      clock,
      verdictType: verdict,
    } = createEntry();
    crash(['e1']);
    crashQuarantine.recordCompleted(REQUEST);
    clock.advanceSync(1);
    crash(['e2', 'e3', 'e4', 'e5', 'e6'], 5_000);
    assert.equal(verdict(), 'quarantined');
  });

  it('are restored after a restart from the stored report', () => {
    const stopped = createEntry();
    stopped.crashEndpoints(['e1', 'e2', 'e3']);
    const restarted = createEntry('a1', stopped.clock);
    restarted.crashQuarantine.restoreOwnReport(
      stopped.crashQuarantine.reportToStore(),
    );
    assert.equal(restarted.verdictType(), 'quarantined');
    assert.equal(restarted.crashQuarantine.reportToStore().crashes.length, 3);
  });

  it('are cleared when the stored reports are deleted', () => {
    const {
      crashQuarantine,
      crashEndpoints: crash,
      verdictType: verdict,
      clock,
    } = createEntry();
    crash(['e1', 'e2']);
    const reportedCrash = {
      request: REQUEST,
      endpoint: 'e3',
      atMs: clock.wall(),
    };
    crashQuarantine.setStoredReport('a2', {
      crashes: [reportedCrash],
      served: {},
    });
    assert.equal(verdict(), 'quarantined');
    crashQuarantine.removeStoredReport('a2');
    assert.equal(verdict(), 'suspected');
    crashQuarantine.removeStoredReport('a1');
    assert.equal(verdict(), 'clear');
  });
});

describe('a quarantine', () => {
  it('lasts at most ten seconds if all endpoints crashed at once', () => {
    const {crashEndpoints: crash, crashQuarantine, clock} = createEntry();
    crash(['e1', 'e2', 'e3'], 0);
    const verdict = crashQuarantine.verdictFor(REQUEST);
    assert.ok(verdict.type === 'quarantined');
    assert.ok(verdict.retryAfterMs <= 10_000);
    clock.advanceSync(10_000);
    assert.equal(crashQuarantine.verdictFor(REQUEST).type, 'trial');
  });

  it('lasts until the crashes expire if the endpoints crashed one by one', () => {
    const {crashEndpoints: crash, verdictType: verdict, clock} = createEntry();
    crash(['e1', 'e2', 'e3']);
    clock.advanceSync(CRASH_TTL_MS - 10_000);
    assert.equal(verdict(), 'quarantined');
    clock.advanceSync(10_000);
    assert.equal(verdict(), 'clear');
  });

  // A trial at each entry could crash one endpoint per entry.
  it('ends with a trial of one request at one entry', () => {
    const clock = createVirtualClock();
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
    const [trialEntryId] = rendezvousOrder(REQUEST, ids);
    entries.forEach(({verdictType: verdict}, index) =>
      assert.equal(
        verdict(),
        ids[index] === trialEntryId ? 'trial' : 'quarantined',
      ),
    );
    const trialEntry = entries[ids.indexOf(trialEntryId!)]!;
    trialEntry.crashQuarantine.beginTrial(REQUEST);
    assert.equal(trialEntry.verdictType(), 'quarantined');
    trialEntry.crashEndpoints(['e4']);
    clock.advanceSync(10_000);
    assert.equal(trialEntry.verdictType(), 'quarantined');
  });

  it('ends when the trial receives a complete response', () => {
    const {
      crashEndpoints: crash,
      crashQuarantine,
      clock,
      verdictType: verdict,
    } = createEntry();
    crash(['e1', 'e2', 'e3'], 0);
    clock.advanceSync(10_000);
    crashQuarantine.beginTrial(REQUEST);
    crashQuarantine.recordCompleted(REQUEST);
    assert.equal(verdict(), 'clear');
  });
});

describe('crash evidence', () => {
  // A caller may generate any number of distinct crashing requests.
  it('is bounded in the stored report, which keeps the requests with the most crashes', () => {
    const {
      crashEndpoints: crash,
      crashQuarantine,
      verdictType: verdict,
    } = createEntry();
    crash(['e1', 'e2', 'e3'], 1_100);
    for (let index = 0; index < 1_000; index++) {
      crash([`x${index}`], CONFIRMATION_DELAY_MS, `generated ${index}`);
    }
    assert.ok(crashQuarantine.reportToStore().crashes.length <= 100);
    assert.equal(verdict(), 'quarantined');
  });

  it('is bounded when other entries gossip many crashes', () => {
    const {crashQuarantine, clock} = createEntry();
    const createReport = (index: number): CrashReport => ({
      crashes: [
        {request: `r${index}`, endpoint: `x${index}`, atMs: clock.wall()},
      ],
      served: {},
    });
    for (let index = 0; index < 1_200; index++) {
      crashQuarantine.mergeGossip(createReport(index));
    }
    assert.equal(
      (crashQuarantine.dump() as {requests: number}).requests,
      1_000,
    );
  });
});
