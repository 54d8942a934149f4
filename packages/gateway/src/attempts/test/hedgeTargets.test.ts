import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualClock} from '@skylarkfield/base';
import {createHedgeTargets} from '../hedgeTargets.js';

const ENDPOINTS = ['a', 'b', 'c'];
const SLOTS = 4;
const STALL = {silentMs: 1_200, timeoutMs: 1_200};

/** Starts at 10,000 ms, with the age of the last bytes from each endpoint. */
async function createTargets(agesMs: Readonly<Record<string, number>>) {
  const clock = createVirtualClock();
  await clock.advance(10_000);
  return createHedgeTargets({
    clock,
    directory: {
      get: () => ({slots: SLOTS}) as never,
      probeTargets: () => ENDPOINTS.map(id => ({id, failureDomain: id})),
    },
    reach: {
      hasRespondedSince: (_, endpoint, since) =>
        clock.now() - (agesMs[endpoint] ?? Infinity) >= since,
    },
  });
}

describe('hedge targets', () => {
  it('are the endpoints that have responded since the stall', async () => {
    const targets = await createTargets({a: 1_200, b: 20, c: 1_150});
    assert.deepEqual(targets.findSilentEndpoints('s', STALL), ['a', 'c']);
  });

  // Guards against hedges at endpoints that are as silent as the first one.
  it('do not exist while all endpoints are silent', async () => {
    const targets = await createTargets({a: 1_200, b: 1_100, c: 1_180});
    assert.equal(targets.findSilentEndpoints('s', STALL), undefined);
  });

  it('do not include endpoints that fell silent later', async () => {
    const targets = await createTargets({a: 3_000, b: 1_500});
    const stall = {...STALL, silentMs: 3_000};
    assert.equal(targets.findSilentEndpoints('s', stall), undefined);
  });

  // Guards against hedges that delay the requests of other callers.
  it('have a free slot', async () => {
    const targets = await createTargets({});
    const hasFreeSlot = (requests: number) =>
      targets.hasFreeSlot({
        endpoint: 'b',
        loadBefore: {requests, pendingTokens: 0, contextTokens: 0},
      });
    assert.ok(hasFreeSlot(SLOTS - 1));
    assert.ok(!hasFreeSlot(SLOTS));
  });
});
