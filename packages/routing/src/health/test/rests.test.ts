import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createDecisionLog,
  createSilentLogger,
  createVirtualClock,
  seededRandom,
} from '@skylarkfield/base';
import {createRests} from '../rests.js';

const REST_MS = 3_000;
/** The longest jitter of such a rest, and of one of 200 ms. */
const MAX_JITTER_MS = 500;
const SHORT_JITTER_MS = 40;
const TRIAL_INTERVAL_MS = 250;
const RETENTION_MS = 60_000;

function createRig(seed = 1) {
  const clock = createVirtualClock();
  const rests = createRests({
    clock,
    random: seededRandom(seed),
    decisions: createDecisionLog(clock, createSilentLogger()),
  });
  const begun: string[] = [];
  rests.onDidBegin(endpoint => begun.push(endpoint));
  return {clock, rests, begun};
}

describe('rests', () => {
  it('keep requests from an endpoint as long as it asked for', async () => {
    const {clock, rests, begun} = createRig();
    rests.recordRest('i-1', REST_MS);
    assert.deepEqual(begun, ['i-1']);
    assert.ok(rests.allowsRequest('i-2'));
    await clock.advance(REST_MS - 1);
    assert.ok(!rests.allowsRequest('i-1'));
    await clock.advance(MAX_JITTER_MS + 1);
    assert.ok(rests.allowsRequest('i-1'));
  });

  it('take fractions of a second, and no rest of zero', async () => {
    const {clock, rests} = createRig();
    rests.recordRest('i-1', 0);
    assert.ok(rests.allowsRequest('i-1'));
    rests.recordRest('i-1', 200);
    assert.ok(!rests.allowsRequest('i-1'));
    await clock.advance(200 + SHORT_JITTER_MS);
    assert.ok(rests.allowsRequest('i-1'));
  });

  // Guards against a rest that a later, shorter one or the response to an earlier request cuts short.
  it('are never shortened', async () => {
    const {clock, rests, begun} = createRig();
    rests.recordRest('i-1', REST_MS);
    rests.recordRest('i-1', 100);
    rests.recordAnswer('i-1');
    await clock.advance(REST_MS - 1);
    assert.ok(!rests.allowsRequest('i-1'));
    assert.deepEqual(begun, ['i-1']);
  });

  // Guards against a wave of requests when a rest ends.
  it('end with single requests until one is not rejected', async () => {
    const {clock, rests} = createRig();
    rests.recordRest('i-1', REST_MS);
    await clock.advance(REST_MS + MAX_JITTER_MS);
    rests.consumeToken('i-1');
    assert.ok(!rests.allowsRequest('i-1'));
    await clock.advance(TRIAL_INTERVAL_MS);
    assert.ok(rests.allowsRequest('i-1'));
    rests.consumeToken('i-1');
    rests.recordAnswer('i-1');
    assert.ok(rests.allowsRequest('i-1'));
  });

  // Guards against entries that all return in the same instant.
  it('end at different times at different entries', () => {
    const waits = [1, 2, 3].map(seed => {
      const {rests} = createRig(seed);
      rests.recordRest('i-1', REST_MS);
      return rests.waitMs('i-1');
    });
    assert.equal(new Set(waits).size, waits.length);
    assert.ok(waits.every(wait => wait! >= REST_MS));
  });

  it('tell callers of a very long rest to come back earlier', () => {
    const {rests} = createRig();
    rests.recordRest('i-1', 1e12);
    assert.equal(rests.waitMs('i-1'), 60_000);
    assert.ok(!rests.allowsRequest('i-1'));
  });

  // Guards against requests to a resting endpoint whose registration the platform loses and restores.
  it('outlast a lost registration for a while', async () => {
    const {clock, rests} = createRig();
    rests.recordRest('i-1', RETENTION_MS * 2);
    rests.retainEndpoints(new Set());
    assert.ok(rests.isResting('i-1'));
    await clock.advance(RETENTION_MS + 1);
    rests.retainEndpoints(new Set());
    assert.ok(!rests.isResting('i-1'));
  });
});
