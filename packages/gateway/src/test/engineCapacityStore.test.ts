import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {seededRandom, silentLogger, virtualClock} from '@skylarkfield/base';
import {
  createEngineModel,
  estimateEngine,
  type CapacityStats,
} from '@skylarkfield/capacity';
import {createMemoryPlatform, type ObjectStore} from '@skylarkfield/providers';
import {createEngineCapacityStore} from '../engineCapacityStore.js';

const LATENCY_TARGETS = [{goalMs: 800, timeoutMs: 10_000}];
const TOKEN_MS = 0.04;

function createStore(): ObjectStore {
  return createMemoryPlatform({clock: virtualClock()}).client('e1');
}

function measuredCapacity(): CapacityStats {
  const random = seededRandom(7);
  const model = createEngineModel(virtualClock());
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

async function settle(): Promise<void> {
  await new Promise(resolve => setImmediate(resolve));
}

describe('engine capacity store', () => {
  it('restores the capacity after all entries lost power', async () => {
    // After a power loss the callers of a system return at once. With prior
    // estimates it would remove endpoints that it needs immediately.
    const store = createStore();
    const clock = virtualClock();
    const log = silentLogger();
    const before = createEngineCapacityStore({store, clock, log});
    const persisting = before.startPersisting(measuredCapacity);
    clock.advanceSync(10_000);
    await settle();
    persisting.dispose();
    before.dispose();

    const after = createEngineCapacityStore({store, clock, log});
    await settle();
    const estimate = estimateEngine(after.restored()['chat'], LATENCY_TARGETS);
    assert.ok(Math.abs(estimate.usualTokenMs - TOKEN_MS) < TOKEN_MS * 0.2);
    assert.ok(estimate.isSure);
  });

  it('decays restored measurements', async () => {
    // Engines may have been replaced during the outage, so current measurements
    // must soon outweigh restored ones.
    const store = createStore();
    const clock = virtualClock();
    const log = silentLogger();
    await store.put('engine-capacity', 'learned', measuredCapacity(), {
      type: 'any',
    });
    const capacityStore = createEngineCapacityStore({store, clock, log});
    await settle();
    clock.advanceSync(120_000);
    const estimate = estimateEngine(
      capacityStore.restored()['chat'],
      LATENCY_TARGETS,
    );
    assert.ok(estimate.prompts < 10, `${estimate.prompts}`);
  });

  it('starts empty if the object is invalid', async () => {
    // Another program may have written an object of this name; an entry that
    // failed on it would serve no requests.
    const store = createStore();
    await store.put('engine-capacity', 'learned', {chat: 7}, {type: 'any'});
    const capacityStore = createEngineCapacityStore({
      store,
      clock: virtualClock(),
      log: silentLogger(),
    });
    await settle();
    assert.deepEqual(capacityStore.restored(), {});
  });
});
