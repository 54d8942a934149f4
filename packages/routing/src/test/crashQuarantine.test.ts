import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  decisionLog,
  rendezvousOrder,
  silentLogger,
  virtualClock,
} from '@skylarkfield/base';
import {CRASH_MEMORY_MS, createCrashSuspects} from '../crashQuarantine.js';
import type {CrashReport} from '../crashEvidence.js';

const REQUEST = 'f00d';
const CONFIRM_MS = 300;

function createEntry(self = 'a1', clock = virtualClock()) {
  const suspects = createCrashSuspects({
    clock,
    self,
    decisions: decisionLog(clock, silentLogger()),
    wallMs: () => clock.wall(),
  });
  return {
    clock,
    suspects,
    verdict: (request = REQUEST) => suspects.judge(request).type,
    /** Endpoints crash one after the other under a request. */
    crash(endpoints: readonly string[], gapMs = 2_000, request = REQUEST) {
      for (const endpoint of endpoints) {
        suspects.noteClosed({request, endpoint});
        clock.advanceSync(gapMs);
      }
    },
  };
}

describe('suspected requests', () => {
  it('are quarantined from the third crash on', () => {
    const {crash, verdict, suspects} = createEntry();
    assert.equal(verdict(), 'clear');
    crash(['e1']);
    assert.equal(verdict(), 'suspected');
    crash(['e2']);
    assert.equal(verdict(), 'suspected');
    suspects.noteClosed({request: REQUEST, endpoint: 'e3'});
    assert.equal(verdict(), 'quarantined');
    assert.equal(verdict('another'), 'clear');
  });

  it('count an endpoint once, however many entries saw it crash', () => {
    const {crash, verdict, suspects, clock} = createEntry();
    crash(['e1', 'e2']);
    const seen = {request: REQUEST, endpoint: 'e2', atMs: clock.wall()};
    suspects.takeKept('a2', {crashes: [seen], served: {}});
    suspects.hear({crashes: [seen], served: {}});
    assert.equal(verdict(), 'suspected');
  });

  // Guards against rejecting a popular request that sat on endpoints which
  // crashed for other reasons.
  it('are cleared by a whole answer, at every entry that hears of it', () => {
    const one = createEntry('a1');
    const other = createEntry('a2', one.clock);
    one.crash(['e1', 'e2', 'e3']);
    other.suspects.takeKept('a1', one.suspects.own());
    assert.equal(other.verdict(), 'quarantined');
    one.suspects.noteServed(REQUEST);
    assert.equal(one.verdict(), 'clear');
    other.suspects.takeKept('a1', one.suspects.own());
    assert.equal(other.verdict(), 'clear');
  });

  it('are not suspected for an endpoint that goes on answering', () => {
    const {suspects, clock, verdict} = createEntry();
    suspects.noteClosed({request: REQUEST, endpoint: 'e1'});
    clock.advanceSync(CONFIRM_MS / 2);
    suspects.noteHeard('e1', clock.now());
    clock.advanceSync(CONFIRM_MS);
    assert.equal(verdict(), 'clear');
    assert.deepEqual(suspects.own().crashes, []);
  });

  it('stay suspected when an answer comes to what was sent before the crash', () => {
    const {suspects, clock, verdict} = createEntry();
    const sentAt = clock.now();
    clock.advanceSync(10);
    suspects.noteClosed({request: REQUEST, endpoint: 'e1'});
    suspects.noteHeard('e1', sentAt);
    assert.equal(verdict(), 'suspected');
  });

  // Guards against taking a slow endpoint for one that crashed without a word.
  it('are suspected for a silent endpoint only once it is gone', () => {
    const {suspects, clock, verdict} = createEntry();
    suspects.noteSilent({request: REQUEST, endpoint: 'e1'});
    clock.advanceSync(3_000);
    assert.equal(verdict(), 'clear');
    suspects.noteGone('e1');
    assert.equal(verdict(), 'suspected');
  });

  it('are suspected for a silence that is noticed after its endpoint has gone', () => {
    const {suspects, verdict} = createEntry();
    suspects.noteGone('e1');
    suspects.noteSilent({request: REQUEST, endpoint: 'e1'});
    assert.equal(verdict(), 'suspected');
  });

  // Guards against registrations that lapse while the platform's store is down.
  it('are not suspected for an endpoint that is registered again and answers', () => {
    const {suspects, clock, verdict} = createEntry();
    suspects.noteGone('e1');
    suspects.noteHeard('e1', clock.now());
    suspects.noteSilent({request: REQUEST, endpoint: 'e1'});
    assert.equal(verdict(), 'clear');
  });

  it('fire for what is to be kept once a crash is confirmed', () => {
    const {suspects, clock} = createEntry();
    let fired = 0;
    suspects.onDidChange(() => (fired += 1));
    suspects.noteClosed({request: REQUEST, endpoint: 'e1'});
    assert.equal(fired, 0);
    clock.advanceSync(CONFIRM_MS);
    assert.equal(fired, 1);
    assert.equal(suspects.own().crashes.length, 1);
  });

  it('are told to the others until they are kept, and a while longer', () => {
    const {suspects, crash, clock} = createEntry();
    assert.equal(suspects.recent(), undefined);
    crash(['e1'], CONFIRM_MS);
    clock.advanceSync(60_000);
    assert.equal(suspects.recent()?.crashes.length, 1);
    suspects.noteKept(suspects.own());
    assert.equal(suspects.recent(), undefined);
    crash(['e2'], CONFIRM_MS);
    suspects.noteKept(suspects.own());
    assert.equal(suspects.recent()?.crashes.length, 1);
    clock.advanceSync(1_500);
    assert.equal(suspects.recent(), undefined);
  });

  it('are cleared here alone where one crash is all that others could know', () => {
    const {suspects, crash, verdict} = createEntry();
    crash(['e1']);
    suspects.noteKept(suspects.own());
    suspects.noteServed(REQUEST);
    assert.equal(verdict(), 'clear');
    assert.equal(suspects.recent(), undefined);
  });

  it('are suspected again for a crash after the whole answer', () => {
    const {suspects, crash, clock, verdict} = createEntry();
    crash(['e1', 'e2', 'e3']);
    suspects.noteServed(REQUEST);
    clock.advanceSync(1);
    crash(['e4']);
    assert.equal(verdict(), 'suspected');
  });

  it('are known again from what the entry had kept', () => {
    const before = createEntry();
    before.crash(['e1', 'e2', 'e3']);
    const after = createEntry('a1', before.clock);
    after.suspects.restore(before.suspects.own());
    assert.equal(after.verdict(), 'quarantined');
    assert.equal(after.suspects.own().crashes.length, 3);
  });

  it('are cleared when what was kept is taken away', () => {
    const {suspects, crash, verdict, clock} = createEntry();
    crash(['e1', 'e2']);
    const seen = {request: REQUEST, endpoint: 'e3', atMs: clock.wall()};
    suspects.takeKept('a2', {crashes: [seen], served: {}});
    assert.equal(verdict(), 'quarantined');
    suspects.dropKept('a2');
    assert.equal(verdict(), 'suspected');
    suspects.dropKept('a1');
    assert.equal(verdict(), 'clear');
  });
});

describe('a quarantine', () => {
  it('is short where all endpoints crashed at once', () => {
    const {crash, suspects, clock} = createEntry();
    crash(['e1', 'e2', 'e3'], 0);
    const verdict = suspects.judge(REQUEST);
    assert.ok(verdict.type === 'quarantined');
    assert.ok(verdict.retryAfterMs <= 10_000);
    clock.advanceSync(10_000);
    assert.equal(suspects.judge(REQUEST).type, 'trial');
  });

  it('lasts as long as the crashes are remembered where they came one by one', () => {
    const {crash, verdict, clock} = createEntry();
    crash(['e1', 'e2', 'e3']);
    clock.advanceSync(CRASH_MEMORY_MS - 10_000);
    assert.equal(verdict(), 'quarantined');
    clock.advanceSync(10_000);
    assert.equal(verdict(), 'clear');
  });

  // Guards against as many trials as there are entries.
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
    for (const {suspects} of entries) {
      suspects.setEntries(ids);
      suspects.hear({crashes, served: {}});
    }
    clock.advanceSync(10_000);
    const [owner] = rendezvousOrder(REQUEST, ids);
    entries.forEach(({verdict}, index) =>
      assert.equal(verdict(), ids[index] === owner ? 'trial' : 'quarantined'),
    );
    const trying = entries[ids.indexOf(owner!)]!;
    trying.suspects.beginTrial(REQUEST);
    assert.equal(trying.verdict(), 'quarantined');
    trying.crash(['e4']);
    clock.advanceSync(10_000);
    assert.equal(trying.verdict(), 'quarantined');
  });

  it('ends with a trial that is served', () => {
    const {crash, suspects, clock, verdict} = createEntry();
    crash(['e1', 'e2', 'e3'], 0);
    clock.advanceSync(10_000);
    suspects.beginTrial(REQUEST);
    suspects.noteServed(REQUEST);
    assert.equal(verdict(), 'clear');
  });
});

describe('the memory of crashes', () => {
  // Guards against a caller who makes up crashing requests without end.
  it('is bounded, and keeps the requests with the most crashes', () => {
    const {crash, suspects, verdict} = createEntry();
    crash(['e1', 'e2', 'e3'], 1_100);
    for (let index = 0; index < 1_000; index++) {
      crash([`x${index}`], CONFIRM_MS, `made-up ${index}`);
    }
    assert.ok(suspects.own().crashes.length <= 100);
    assert.equal(verdict(), 'quarantined');
  });

  it('is bounded for what others tell', () => {
    const {suspects, clock} = createEntry();
    const report = (index: number): CrashReport => ({
      crashes: [
        {request: `r${index}`, endpoint: `x${index}`, atMs: clock.wall()},
      ],
      served: {},
    });
    for (let index = 0; index < 1_200; index++) {
      suspects.hear(report(index));
    }
    assert.equal((suspects.dump() as {requests: number}).requests, 1_000);
  });
});
