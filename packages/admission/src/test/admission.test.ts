import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  decisionLog,
  seededRandom,
  settlePromises,
  silentLogger,
  virtualClock,
} from '@skylarkfield/base';
import type {Service} from '@skylarkfield/records';
import {createAdmission, type Ask, type Permit} from '../index.js';

const booking: Service = {
  name: 'booking',
  type: 'plain',
  version: 'v1',
  routes: [],
  targetMs: 100,
  timeoutMs: 1000,
  concurrency: 1,
  queue: 1,
  fleet: {
    minReplicas: 1,
    maxReplicas: 1,
    machineClass: 'small',
    weights: '',
  },
};

function setUp() {
  const clock = virtualClock();
  const admission = createAdmission({
    clock,
    random: seededRandom(1),
    decisions: decisionLog(clock, silentLogger()),
  });
  admission.setService('booking', booking);
  const signal = new AbortController().signal;
  const admit = (urgency: number): Promise<Permit> =>
    admission.admit({...ask, urgency}, signal);
  const ask: Ask = {
    service: 'booking',
    customer: 'namu',
    urgency: 3,
    deadline: 1000,
    cost: 1,
  };
  return {clock, admission, admit};
}

describe('admission', () => {
  it('admits a waiting request when a permit is released', async () => {
    const {admit} = setUp();
    const first = await admit(3);
    const second = admit(3);
    first.release({outcome: 'ok', latencyMs: 1});
    assert.equal((await second).waitedMs, 0);
  });

  it('displaces a less important waiting request when the queue is full', async () => {
    // The queue is full of less important work when an important request
    // comes. Without displacement the caller who matters most is turned away.
    const {admit} = setUp();
    const held = await admit(3);
    const refused = assert.rejects(admit(5), {kind: 'overloaded'});
    const important = admit(1);
    await refused;
    held.release({outcome: 'ok', latencyMs: 1});
    await important;
  });

  it('refuses a waiting request when its deadline passes', async () => {
    // The one permit is never released. A caller whose deadline passes in the
    // queue would otherwise wait for an answer that nobody needs any more.
    const {clock, admit} = setUp();
    await admit(3);
    const late = assert.rejects(admit(3), {
      kind: 'deadline-exceeded',
      run: 'not-run',
    });
    await settlePromises();
    await clock.advance(1001);
    await late;
  });
});
