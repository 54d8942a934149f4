import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {isServingError, seededRandom, virtualClock} from '@skylarkfield/base';
import {createCallBudget} from '../callBudget.js';
import {memoryPlatform} from '../memoryPlatform.js';

const ignore = {onDidList: () => {}, onDidPut: () => {}, onDidRemove: () => {}};

describe('object client', () => {
  // A connection dies without a word. The watcher believes that nothing has
  // changed, for as long as nobody opens the watch anew.
  it('opens a watch anew that has been silent for long', async () => {
    const clock = virtualClock();
    const platform = memoryPlatform({clock});
    const store = platform.client('a');
    const heard: unknown[] = [];
    store.watch('thing', {
      ...ignore,
      onDidPut: object => heard.push(object.value),
    });
    await clock.advance(100);
    store.faults.silenceWatches(true);
    await platform.client('b').put('thing', 'x', 1, {type: 'any'});
    await clock.advance(1000);
    store.faults.silenceWatches(false);
    assert.deepEqual(heard, []);
    await clock.advance(20_000);
    assert.deepEqual(heard, [1]);
  });

  // The platform comes back after a while. If every entry opened its watches in
  // the same moment, their calls alone could take it down again.
  it('comes back spread over time when the platform returns', async () => {
    const clock = virtualClock();
    const platform = memoryPlatform({clock, random: seededRandom(9)});
    const count = 50;
    for (let index = 0; index < count; index++) {
      platform.client(`e${index}`, {liveEntries: count}).watch('thing', ignore);
    }
    await clock.advance(1000);
    assert.equal(platform.load().openWatches, count);
    platform.faults.setDown(true);
    await clock.advance(30_000);
    platform.faults.setDown(false);
    let most = 0;
    for (let step = 0; step < 40; step++) {
      const before = platform.load().watchCalls;
      await clock.advance(250);
      most = Math.max(most, platform.load().watchCalls - before);
    }
    assert.equal(platform.load().openWatches, count);
    assert.ok(most <= count / 2, `${most} watches within 250 ms`);
  });

  // A fleet grows or shrinks, and its share of the platform's rate changes.
  it('keeps within its share of the rate', async () => {
    const clock = virtualClock();
    const budget = createCallBudget(clock, {
      platformCallsPerSecond: 100,
      liveEntries: 10,
    });
    async function callsWithin(spanMs: number): Promise<number> {
      let calls = 0;
      const until = clock.now() + spanMs;
      async function work() {
        while (clock.now() < until) {
          await budget.take(until + 1000).catch(() => undefined);
          calls += 1;
        }
      }
      void work();
      // In small steps: a step settles only so many promises before its timers.
      while (clock.now() < until) {
        await clock.advance(10);
      }
      return calls;
    }
    await callsWithin(5000);
    const ten = await callsWithin(5000);
    assert.ok(ten >= 48 && ten <= 52, `${ten} calls in 5 s at 10 a second`);
    budget.setLiveEntries(100);
    await callsWithin(5000);
    const one = await callsWithin(5000);
    assert.ok(one >= 4 && one <= 6, `${one} calls in 5 s at 1 a second`);
  });

  it('refuses a call at once that would wait beyond its deadline', async () => {
    const clock = virtualClock();
    const budget = createCallBudget(clock, {
      platformCallsPerSecond: 1,
      liveEntries: 1,
    });
    for (let call = 0; call < 10; call++) {
      await budget.take(clock.now() + 10);
    }
    await assert.rejects(
      budget.take(clock.now() + 10),
      error =>
        isServingError(error, 'platform-unavailable') &&
        error.run === 'not-run' &&
        (error.retryAfterMs ?? 0) > 500,
    );
  });
});
