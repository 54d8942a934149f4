import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  isServingError,
  seededRandom,
  createVirtualClock,
} from '@skylarkfield/base';
import {createCallRateLimiter} from '../callRateLimiter.js';
import {createMemoryPlatform} from '../memoryPlatform.js';

const noopListener = {
  onDidList: () => {},
  onDidPut: () => {},
  onDidRemove: () => {},
};

describe('object client', () => {
  // A connection that dies without being closed delivers no more events, so the
  // watcher misses all changes until the watch is reopened.
  it('reopens a watch that delivers no events for the idle timeout', async () => {
    const clock = createVirtualClock();
    const platform = createMemoryPlatform({clock});
    const store = platform.createClient('a');
    const receivedValues: unknown[] = [];
    store.watch('thing', {
      ...noopListener,
      onDidPut: object => receivedValues.push(object.value),
    });
    await clock.advance(100);
    store.faults.setStallingWatches(true);
    await platform.createClient('b').put('thing', 'x', 1, {type: 'any'});
    await clock.advance(1000);
    store.faults.setStallingWatches(false);
    assert.deepEqual(receivedValues, []);
    await clock.advance(20_000);
    assert.deepEqual(receivedValues, [1]);
  });

  // When the platform recovers and every entry reopens its watches at the same
  // moment, the watch calls alone can overload the platform again.
  it('spreads reconnects over time when the platform recovers', async () => {
    const clock = createVirtualClock();
    const platform = createMemoryPlatform({clock, random: seededRandom(9)});
    const clientCount = 50;
    for (let index = 0; index < clientCount; index++) {
      platform
        .createClient(`e${index}`, {liveEntries: clientCount})
        .watch('thing', noopListener);
    }
    await clock.advance(1000);
    assert.equal(platform.callCounts().openWatches, clientCount);
    platform.faults.setDown(true);
    await clock.advance(30_000);
    platform.faults.setDown(false);
    let maxWatchCalls = 0;
    for (let step = 0; step < 40; step++) {
      const callsBefore = platform.callCounts().watchCalls;
      await clock.advance(250);
      maxWatchCalls = Math.max(
        maxWatchCalls,
        platform.callCounts().watchCalls - callsBefore,
      );
    }
    assert.equal(platform.callCounts().openWatches, clientCount);
    assert.ok(
      maxWatchCalls <= clientCount / 2,
      `${maxWatchCalls} watches within 250 ms`,
    );
  });

  // A process's share of the platform's rate limit depends on the fleet size.
  it('limits calls to the share of the process in the rate limit', async () => {
    const clock = createVirtualClock();
    const rateLimiter = createCallRateLimiter(clock, {
      platformCallsPerSecond: 100,
      liveEntries: 10,
    });
    async function callsWithin(durationMs: number): Promise<number> {
      let callCount = 0;
      const endAt = clock.now() + durationMs;
      async function makeCalls() {
        while (clock.now() < endAt) {
          await rateLimiter.acquire(endAt + 1000).catch(() => undefined);
          callCount += 1;
        }
      }
      void makeCalls();
      // Small steps, since a step settles only a limited number of promises
      // before its timers fire.
      while (clock.now() < endAt) {
        await clock.advance(10);
      }
      return callCount;
    }
    await callsWithin(5000);
    const callsAt10PerSecond = await callsWithin(5000);
    assert.ok(
      callsAt10PerSecond >= 48 && callsAt10PerSecond <= 52,
      `${callsAt10PerSecond} calls in 5 s at 10 per second`,
    );
    rateLimiter.setLiveEntries(100);
    await callsWithin(5000);
    const callsAt1PerSecond = await callsWithin(5000);
    assert.ok(
      callsAt1PerSecond >= 4 && callsAt1PerSecond <= 6,
      `${callsAt1PerSecond} calls in 5 s at 1 per second`,
    );
  });

  it('rejects a call at once that would wait past its deadline', async () => {
    const clock = createVirtualClock();
    const rateLimiter = createCallRateLimiter(clock, {
      platformCallsPerSecond: 1,
      liveEntries: 1,
    });
    for (let call = 0; call < 10; call++) {
      await rateLimiter.acquire(clock.now() + 10);
    }
    await assert.rejects(
      rateLimiter.acquire(clock.now() + 10),
      error =>
        isServingError(error, 'platform-unavailable') &&
        error.run === 'not-run' &&
        (error.retryAfterMs ?? 0) > 500,
    );
  });
});
