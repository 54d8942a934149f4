import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createDecisionLog,
  createSilentLogger,
  createVirtualClock,
} from '@skylarkfield/base';
import {createCrashQuarantine} from '../crashQuarantine.js';
import {promptPartSuspects, suspectKindOf} from '../crashSuspects.js';
import {createCrashTrials} from '../crashTrials.js';
import {createLossRate} from '../lossRate.js';
import {createServedSuspects} from '../servedSuspects.js';

const PART = 'part m/dead';
const POPULAR_PART = 'part m/base';

function createEntry(self = 'a1', clock = createVirtualClock()) {
  const crashQuarantine = createCrashQuarantine({
    clock,
    self,
    decisions: createDecisionLog(clock, createSilentLogger()),
    wallMs: () => clock.wall(),
  });
  let requestCount = 0;
  const newRequest = () => `r${(requestCount += 1)}`;
  return {
    clock,
    crashQuarantine,
    /** Records crashes under requests that have only the parts in common. */
    crash(endpoints: readonly string[], parts = [PART], gapMs = 2_000) {
      for (const endpoint of endpoints) {
        const request = newRequest();
        crashQuarantine.recordConnectionLost({request, parts, endpoint});
        clock.advanceSync(gapMs);
      }
    },
    serve: (parts: readonly string[]) =>
      crashQuarantine.recordCompleted(newRequest(), parts),
    verdictOn: (part: string) =>
      crashQuarantine.verdictFor(newRequest(), [part]).type,
  };
}

describe('parts of a prompt', () => {
  it('are quarantined from the third crash on, in any request', () => {
    const {crash, verdictOn} = createEntry();
    crash(['e1', 'e2']);
    assert.equal(verdictOn(PART), 'suspected');
    crash(['e3']);
    assert.equal(verdictOn(PART), 'quarantined');
    assert.equal(verdictOn('part m/other'), 'clear');
  });

  it('are cleared by a complete response to any request', () => {
    const {crash, serve, verdictOn} = createEntry();
    crash(['e1', 'e2', 'e3'], [PART, POPULAR_PART]);
    serve([POPULAR_PART]);
    assert.equal(verdictOn(POPULAR_PART), 'clear');
    assert.equal(verdictOn(PART), 'quarantined');
  });

  // Guards against rejecting all requests of a customer whose first part ran on
  // every endpoint that a failure domain lost.
  it('are not quarantined by one incident if they have been served', () => {
    const {crash, serve, verdictOn} = createEntry();
    serve([POPULAR_PART]);
    crash(['e1', 'e2', 'e3', 'e4', 'e5', 'e6'], [POPULAR_PART], 10);
    assert.equal(verdictOn(POPULAR_PART), 'clear');
  });

  it('are quarantined although they have been served if they crash on', () => {
    const {crash, serve, verdictOn, clock} = createEntry();
    serve([POPULAR_PART]);
    clock.advanceSync(1);
    crash(['e1', 'e2', 'e3', 'e4'], [POPULAR_PART], 5_000);
    assert.equal(verdictOn(POPULAR_PART), 'clear');
    crash(['e5'], [POPULAR_PART]);
    assert.equal(verdictOn(POPULAR_PART), 'quarantined');
  });

  // Guards against entries that take a part for a new one, since another entry
  // served it.
  it('are known as served to the entries that are told of the crash', () => {
    const {crash, serve, crashQuarantine, clock} = createEntry('a1');
    const other = createEntry('a2', clock);
    serve([POPULAR_PART]);
    clock.advanceSync(1);
    crash(['e1', 'e2', 'e3', 'e4'], [POPULAR_PART]);
    other.crashQuarantine.setStoredReport(
      'a1',
      crashQuarantine.reportToStore(),
    );
    assert.equal(other.verdictOn(POPULAR_PART), 'clear');
  });

  it('are gossiped as served after a crash, but not stored for it', () => {
    const {crash, serve, crashQuarantine, clock} = createEntry();
    crash(['e1']);
    crashQuarantine.recordStored(crashQuarantine.reportToStore());
    let writeCount = 0;
    crashQuarantine.onDidChange(() => (writeCount += 1));
    serve([PART]);
    assert.ok(crashQuarantine.reportToGossip()?.served[PART]);
    clock.advanceSync(2_000);
    assert.equal(crashQuarantine.reportToGossip(), undefined);
    assert.equal(writeCount, 0);
  });

  // Guards against memory that grows with the parts that callers name.
  it('leave no evidence behind once nobody reports a crash under them', () => {
    const {crashQuarantine, clock} = createEntry('a1');
    for (let index = 0; index < 200; index++) {
      const served = {[`part m/${index}`]: clock.wall()};
      crashQuarantine.mergeGossip({crashes: [], served});
      clock.advanceSync(100);
    }
    const {served} = crashQuarantine.dump() as {served: number};
    assert.ok(served <= 20, `${served} parts`);
  });

  // Guards against a crash that is reported after a response has cleared it.
  it('stay clear if they were served between a crash and its confirmation', () => {
    const {crash, serve, crashQuarantine, clock} = createEntry();
    crash(['e1'], [PART], 10);
    serve([PART]);
    clock.advanceSync(1_000);
    const {crashes} = crashQuarantine.reportToStore();
    assert.ok(crashes.every(({request}) => request !== PART));
  });

  // Guards against innocent new parts while endpoints crash for other reasons.
  it('take more crashes while many requests are lost, but at most five', () => {
    const {crash, crashQuarantine, verdictOn} = createEntry();
    for (let index = 0; index < 90; index++) {
      const endpoint = `x${index}`;
      crashQuarantine.recordConnectionLost({request: `l${index}`, endpoint});
    }
    crash(['e1', 'e2', 'e3', 'e4'], [PART], 10);
    assert.equal(verdictOn(PART), 'suspected');
    crash(['e5'], [PART], 10);
    assert.equal(verdictOn(PART), 'quarantined');
  });
});

describe('keys of prompt parts', () => {
  it('leave out the last part, and name each part once', () => {
    assert.deepEqual(promptPartSuspects('m', ['a', 'b', 'a', 'own']), [
      'part m/a',
      'part m/b',
    ]);
    assert.deepEqual(promptPartSuspects('m', ['own']), []);
  });

  it('differ between models', () => {
    const [key] = promptPartSuspects('m', ['a', 'own']);
    assert.notEqual(promptPartSuspects('n', ['a', 'own'])[0], key);
    assert.equal(suspectKindOf(key!), 'prompt-part');
    assert.equal(suspectKindOf('f00d'), 'request');
  });

  it('are bounded in length and number', () => {
    const ids = Array.from({length: 500}, (_, index) => `${index}`);
    assert.equal(promptPartSuspects('m', ids).length, 64);
    const [key] = promptPartSuspects('m', ['x'.repeat(5_000), 'own']);
    assert.ok(key!.length < 100);
  });
});

describe('served suspects', () => {
  it('are forgotten beyond the bound, the oldest first', () => {
    const servedSuspects = createServedSuspects(4);
    servedSuspects.record(['a', 'b'], 1);
    servedSuspects.record(['a', 'c'], 2);
    servedSuspects.record(['d'], 3);
    assert.deepEqual(servedSuspects.timesOf(['a', 'b', 'c', 'd']), {
      a: 2,
      c: 2,
      d: 3,
    });
  });
});

describe('the weight of a crash', () => {
  it('falls with the share of lost requests, and recovers', () => {
    const clock = createVirtualClock();
    const lossRate = createLossRate(clock);
    assert.equal(lossRate.crashWeight(), 1);
    for (let index = 0; index < 60; index++) {
      lossRate.recordServed();
      lossRate.recordLost();
    }
    assert.ok(lossRate.crashWeight() < 0.5);
    clock.advanceSync(5_000);
    assert.ok(lossRate.crashWeight() < 0.5);
    clock.advanceSync(10_000);
    assert.equal(lossRate.crashWeight(), 1);
  });
});

describe('trials', () => {
  // Guards against endpoints that get a trial every ten seconds for hours.
  it('are repeated ever later if they have no result', () => {
    const clock = createVirtualClock();
    const trials = createCrashTrials(clock, 'a1');
    trials.begin(PART);
    clock.advanceSync(10_000);
    assert.ok(trials.mayBegin(PART));
    trials.begin(PART);
    clock.advanceSync(59_999);
    assert.ok(!trials.mayBegin(PART));
    clock.advanceSync(1);
    assert.ok(trials.mayBegin(PART));
  });
});
