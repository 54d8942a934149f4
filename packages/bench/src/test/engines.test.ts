import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  ENGINE_PROFILES,
  requestKindsFor,
  computePromptMs,
} from '../engines/profiles.js';
import {replayEngines, type ReplayOutcome} from '../engines/engineReplay.js';
import {SERVICE} from '../engines/replayEntry.js';

const denseProfile = ENGINE_PROFILES.find(({name}) => name === 'dense')!;
const OVERLOAD_START_SECOND = 10;
const SEEDS = [1, 2, 3, 7, 8, 9];
/** Allowed difference of fractions: refusals change the request sequence. */
const TOLERANCE = 0.02;

/** Returns the results of requests during an overload, over several seeds. */
async function replayOverload(shouldRefuseLate: boolean) {
  const outcomes: ReplayOutcome[] = [];
  for (const seed of SEEDS) {
    const seedOutcomes = await replayEngines({
      seed,
      seconds: 20,
      profile: denseProfile,
      engineCount: 3,
      entryCount: 3,
      loadAt: second => (second < OVERLOAD_START_SECOND ? 0.4 : 2),
      shouldRefuseLate,
    });
    outcomes.push(
      ...seedOutcomes.filter(
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
    const kinds = requestKindsFor(denseProfile);
    const trueMs = kinds.reduce(
      (sum, kind) => sum + kind.weight * computePromptMs(kind, denseProfile),
      0,
    );
    let estimatedMs = 0;
    await replayEngines({
      seed: 7,
      seconds: 20,
      profile: denseProfile,
      engineCount: 4,
      entryCount: 4,
      loadAt: () => 0.4,
      shouldRefuseLate: true,
      onDidElapseSecond(_, {estimates}) {
        estimatedMs = estimates.estimateFor(SERVICE).usualPromptMs;
      },
    });
    assert.ok(estimatedMs > trueMs * 0.6, `${estimatedMs} of ${trueMs}`);
    assert.ok(estimatedMs < trueMs * 1.7, `${estimatedMs} of ${trueMs}`);
  });

  it('refuse at once requests that would miss their deadline', async () => {
    // The load is twice the capacity of the engines. Without refusals, a third
    // of the requests would time out.
    const withoutRefusals = await replayOverload(false);
    const withRefusals = await replayOverload(true);
    assert.ok(withRefusals.timedOut < withoutRefusals.timedOut * 0.9);
    assert.ok(withRefusals.inTime >= withoutRefusals.inTime - TOLERANCE);
    for (const {result, durationMs} of withRefusals.outcomes) {
      assert.ok(result !== 'refused' || durationMs === 0);
    }
  });
});
