import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ENGINE_PROFILES, kindsFor, promptMs} from '../engines/profiles.js';
import {replayEngines, type ReplayOutcome} from '../engines/engineReplay.js';
import {SERVICE} from '../engines/replayEntry.js';

const dense = ENGINE_PROFILES.find(({name}) => name === 'dense')!;
const OVERLOAD_START_SECOND = 10;
const SEEDS = [1, 2, 3, 7, 8, 9];
/** Noise of the fractions: refusals change the sequence of the requests. */
const TOLERANCE = 0.02;

/** Returns request results during overload, over several seeds. */
async function replayOverload(refusesLate: boolean) {
  const outcomes: ReplayOutcome[] = [];
  for (const seed of SEEDS) {
    const all = await replayEngines({
      seed,
      seconds: 20,
      profile: dense,
      engines: 3,
      entries: 3,
      loadAt: second => (second < OVERLOAD_START_SECOND ? 0.4 : 2),
      refusesLate,
    });
    outcomes.push(
      ...all.filter(
        ({arrivedMs}) => arrivedMs >= OVERLOAD_START_SECOND * 1_000,
      ),
    );
  }
  const fractionOf = (result: ReplayOutcome['result']) =>
    outcomes.filter(outcome => outcome.result === result).length /
    outcomes.length;
  return {
    outcomes,
    inTime: fractionOf('in-time'),
    timedOut: fractionOf('timed-out'),
  };
}

describe('entries with engines of unknown speed', () => {
  it('estimate the speed from served requests', async () => {
    // A new customer's engines process prompts at a quarter of the default
    // speed. With the default estimate, accepted requests would time out.
    const kinds = kindsFor(dense);
    const trueMs = kinds.reduce(
      (sum, kind) => sum + kind.weight * promptMs(kind, dense),
      0,
    );
    let learnedMs = 0;
    await replayEngines({
      seed: 7,
      seconds: 20,
      profile: dense,
      engines: 4,
      entries: 4,
      loadAt: () => 0.4,
      refusesLate: true,
      onDidElapseSecond(_, {engines}) {
        learnedMs = engines.estimateFor(SERVICE).usualPromptMs;
      },
    });
    assert.ok(learnedMs > trueMs * 0.6, `${learnedMs} of ${trueMs}`);
    assert.ok(learnedMs < trueMs * 1.7, `${learnedMs} of ${trueMs}`);
  });

  it('refuse at once requests that would miss their deadline', async () => {
    // The load is twice the capacity of the engines. Without refusals, a third
    // of the requests would time out.
    const sent = await replayOverload(false);
    const refused = await replayOverload(true);
    assert.ok(refused.timedOut < sent.timedOut * 0.9);
    assert.ok(refused.inTime >= sent.inTime - TOLERANCE);
    for (const {result, tookMs} of refused.outcomes) {
      assert.ok(result !== 'refused' || tookMs === 0);
    }
  });
});
