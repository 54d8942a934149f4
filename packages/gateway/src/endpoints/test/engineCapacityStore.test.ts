import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  seededRandom,
  createSilentLogger,
  createVirtualClock,
} from '@skylarkfield/base';
import {
  createEngineModel,
  estimateEngine,
  type CapacityStats,
} from '@skylarkfield/capacity';
import {createMemoryPlatform, type ObjectStore} from '@skylarkfield/providers';
import {createEngineCapacityStore} from '../engineCapacityStore.js';

const LATENCY_TARGETS = [{goalMs: 800, timeoutMs: 10_000}];
/** Milliseconds per prompt token of the measured engine. */
const TOKEN_MS = 0.04;

function createStore(): ObjectStore {
  return createMemoryPlatform({clock: createVirtualClock()}).createClient('e1');
}

function createMeasuredCapacity(): CapacityStats {
  const random = seededRandom(7);
  const model = createEngineModel(createVirtualClock());
  for (let index = 0; index < 400; index++) {
    const ownTokens = 500 + 3_000 * random.next();
    model.recordPrompt({
      service: 'chat',
      route: 'r1',
      ownTokens,
      promptTokens: ownTokens,
      rereadTokens: 0,
      pendingTokens: 0,
      tookMs: 20 * random.next() + ownTokens * TOKEN_MS,
    });
  }
  return model.stats();
}

async function waitForStoreCalls(): Promise<void> {
  await new Promise(resolve => setImmediate(resolve));
}

describe('engine capacity store', () => {
  it('restores the capacity after all entries lost power', async () => {
    // When power returns, the callers return at once. With prior estimates
    // only, the system would remove endpoints that it needs immediately.
    const store = createStore();
    const clock = createVirtualClock();
    const log = createSilentLogger();
    const storeBeforeLoss = createEngineCapacityStore({store, clock, log});
    const persistence = storeBeforeLoss.startPersisting(createMeasuredCapacity);
    clock.advanceSync(10_000);
    await waitForStoreCalls();
    persistence.dispose();
    storeBeforeLoss.dispose();

    const storeAfterLoss = createEngineCapacityStore({store, clock, log});
    await waitForStoreCalls();
    const estimate = estimateEngine(
      storeAfterLoss.restoredStats()['chat'],
      LATENCY_TARGETS,
    );
    assert.ok(Math.abs(estimate.usualTokenMs - TOKEN_MS) < TOKEN_MS * 0.2);
    assert.ok(estimate.isSure);
  });

  it('decays the weight of restored measurements over time', async () => {
    // Engines may have been replaced during the power loss, so current
    // measurements must soon outweigh restored measurements.
    const store = createStore();
    const clock = createVirtualClock();
    const log = createSilentLogger();
    await store.put('engine-capacity', 'learned', createMeasuredCapacity(), {
      type: 'any',
    });
    const capacityStore = createEngineCapacityStore({store, clock, log});
    await waitForStoreCalls();
    clock.advanceSync(120_000);
    const estimate = estimateEngine(
      capacityStore.restoredStats()['chat'],
      LATENCY_TARGETS,
    );
    assert.ok(estimate.prompts < 10, `${estimate.prompts}`);
  });

  it('starts without measurements if the stored object is invalid', async () => {
    // Another program may have written an object of this name. An entry that
    // fails because of the object would serve no requests.
    const store = createStore();
    await store.put('engine-capacity', 'learned', {chat: 7}, {type: 'any'});
    const capacityStore = createEngineCapacityStore({
      store,
      clock: createVirtualClock(),
      log: createSilentLogger(),
    });
    await waitForStoreCalls();
    assert.deepEqual(capacityStore.restoredStats(), {});
  });

  // Guards against sums that fail whenever they are added to those of other entries.
  it('starts without measurements if their sums do not match', async () => {
    const sums = {count: 2, weight: 2, totals: [1, 1], products: [1, 1, 1]};
    const measured = {prompts: sums, answers: sums, paces: {}};
    const oddValues: readonly unknown[] = [
      {constructor: measured},
      {chat: {...measured, prompts: {...sums, products: [1]}}},
      {chat: {...measured, prompts: {...sums, weight: -1}}},
      {chat: {...measured, paces: {toString: {}}}},
    ];
    for (const value of [{chat: measured}, ...oddValues]) {
      const store = createStore();
      await store.put('engine-capacity', 'learned', value, {type: 'any'});
      const capacityStore = createEngineCapacityStore({
        store,
        clock: createVirtualClock(),
        log: createSilentLogger(),
      });
      await waitForStoreCalls();
      assert.deepEqual(
        Object.keys(capacityStore.restoredStats()),
        oddValues.includes(value) ? [] : ['chat'],
        JSON.stringify(value),
      );
    }
  });
});
