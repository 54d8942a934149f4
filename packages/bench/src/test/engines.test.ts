import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ENGINE_PROFILES, kindsFor, promptMs} from '../engines/profiles.js';
import {replayEngines, type ReplayOutcome} from '../engines/engineReplay.js';
import {SERVICE} from '../engines/replayEntry.js';

const dense = ENGINE_PROFILES.find(({name}) => name === 'dense')!;
const OVERLOAD_SECOND = 10;
const SEEDS = [1, 2, 3, 7, 8, 9];
/** Requests that are refused leave others to arrive in another order; more than this part is no chance. */
const TOLERANCE = 0.02;

/** What callers get after the load has risen, over several seeds, as parts of all requests. */
async function replayOverload(refusesLate: boolean) {
  const outcomes: ReplayOutcome[] = [];
  for (const seed of SEEDS) {
    const all = await replayEngines({
      seed,
      seconds: 20,
      profile: dense,
      engines: 3,
      entries: 3,
      loadAt: second => (second < OVERLOAD_SECOND ? 0.4 : 2),
      refusesLate,
    });
    outcomes.push(
      ...all.filter(({arrivedMs}) => arrivedMs >= OVERLOAD_SECOND * 1_000),
    );
  }
  const part = (result: ReplayOutcome['result']) =>
    outcomes.filter(outcome => outcome.result === result).length /
    outcomes.length;
  return {outcomes, inTime: part('in-time'), timedOut: part('timed-out')};
}

describe('entries before engines that nobody described', () => {
  it('find their speed from the requests that they serve', async () => {
    // A new customer's engines read prompts at a quarter of the speed of those
    // known before. By the old figures callers would wait in vain.
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
        learnedMs = engines.figures(SERVICE).usualPromptMs;
      },
    });
    assert.ok(learnedMs > trueMs * 0.6, `${learnedMs} of ${trueMs}`);
    assert.ok(learnedMs < trueMs * 1.7, `${learnedMs} of ${trueMs}`);
  });

  it('tell callers at once what can not be answered in their time', async () => {
    // Twice as many callers come as the engines can serve. Sent on all the same,
    // a third of them would hear nothing until their time is over.
    const sent = await replayOverload(false);
    const refused = await replayOverload(true);
    assert.ok(refused.timedOut < sent.timedOut * 0.9);
    assert.ok(refused.inTime >= sent.inTime - TOLERANCE);
    for (const {result, tookMs} of refused.outcomes) {
      assert.ok(result !== 'refused' || tookMs === 0);
    }
  });
});
