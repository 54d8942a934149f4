import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
  expectedAnswer,
  type FaultPlan,
  type PlannedFault,
} from './fakeEngine.js';
import {createRig, DEADLINE_MS} from './streamRig.js';

const isLong = process.env.SKYLARKFIELD_FUZZ === 'long';
const seed = isLong ? Date.now() % 2 ** 31 : 20_261;
const numRuns = isLong ? 5000 : 150;

const faultTypes: PlannedFault[] = [
  'none',
  'refused',
  'failed',
  'overloaded',
  'cut',
  'silent',
  'busy',
  'crossed',
  'doubled',
  'gap',
  'changed',
  'truncated',
  'endless',
];

const anyFaultPlan: fc.Arbitrary<FaultPlan> = fc.record({
  fault: fc.constantFrom(...faultTypes),
  tokensBeforeFault: fc.integer({min: 0, max: 12}),
});

/** A disruption of one engine, `afterMs` after the previous disruption. */
const anyDisruption = fc.record({
  afterMs: fc.integer({min: 0, max: 600}),
  type: fc.constantFrom(
    'leave' as const,
    'hang' as const,
    'wake' as const,
    'pause' as const,
    'resume' as const,
  ),
  engine: fc.integer({min: 0, max: 2}),
});

const anyScenario = fc.record({
  plans: fc.array(anyFaultPlan, {maxLength: 10}),
  disruptions: fc.array(anyDisruption, {maxLength: 6}),
  goneAtMs: fc.constantFrom(undefined, 200, 600, 1500),
  retryBudget: fc.integer({min: 0, max: 8}),
  maxTokens: fc.constantFrom(1, 20, 24, 60),
  callerAbortMs: fc.option(fc.integer({min: 0, max: 1500})),
});

/** Pauses that are over well before the first-token deadline. */
const anyPauses = fc.record({
  pauses: fc.array(
    fc.record({
      atMs: fc.integer({min: 0, max: 1500}),
      durationMs: fc.integer({min: 0, max: 3000}),
      engine: fc.integer({min: 0, max: 2}),
    }),
    {maxLength: 8},
  ),
  engineCount: fc.constantFrom(1, 3),
  retryBudget: fc.integer({min: 0, max: 3}),
  maxTokens: fc.constantFrom(1, 24, 60),
});

const STEP_MS = 100;

type Rig = ReturnType<typeof createRig>;

const applyDisruption = {
  leave: (rig: Rig, engine: number) => rig.leavingControllers[engine]!.abort(),
  hang: (rig: Rig, engine: number) => void (rig.engines[engine]!.isHung = true),
  wake: (rig: Rig, engine: number) =>
    void (rig.engines[engine]!.isHung = false),
  pause: (rig: Rig, engine: number) =>
    void (rig.engines[engine]!.isPaused = true),
  resume: (rig: Rig, engine: number) =>
    void (rig.engines[engine]!.isPaused = false),
};

/**
 * Advances past the deadline in small steps: a series of rejections takes no
 * virtual time, but more promise turns than the clock waits for in one step.
 */
async function advancePastDeadline(rig: Rig) {
  for (
    let elapsedMs = 0;
    elapsedMs < DEADLINE_MS + 1000;
    elapsedMs += STEP_MS
  ) {
    await rig.clock.advance(STEP_MS);
  }
}

function checkInvariants(rig: Rig, maxTokens: number) {
  const fullAnswer = expectedAnswer(maxTokens);
  const {summary, error} = rig.result;
  assert.deepEqual(rig.tokens, fullAnswer.slice(0, rig.tokens.length));
  assert.equal((summary === undefined) !== (error === undefined), true);
  if (summary !== undefined) {
    assert.deepEqual(rig.tokens, fullAnswer);
    assert.equal(summary.generatedTokens, fullAnswer.length);
  }
  if (error?.run === 'not-run') {
    assert.equal(
      rig.engines.reduce(
        (sum, engine) => sum + engine.receivedRequests.length,
        0,
      ),
      0,
    );
  }
  for (const pick of rig.picks) {
    assert.equal(
      pick.outcomes.length,
      1,
      'a pick was not finished exactly once',
    );
  }
  assert.deepEqual((rig.runner.dump() as {open: unknown[]}).open, []);
}

describe('stream runner, fuzzed', () => {
  it(`delivers the exact text or an error with a correct run state (seed ${seed})`, async () => {
    await fc.assert(
      fc.asyncProperty(anyScenario, async scenario => {
        const rig = createRig(scenario);
        if (scenario.callerAbortMs !== null) {
          rig.clock.after(scenario.callerAbortMs, () =>
            rig.callerController.abort(),
          );
        }
        let disruptionAtMs = 0;
        for (const {afterMs, type, engine} of scenario.disruptions) {
          disruptionAtMs += afterMs;
          rig.clock.after(disruptionAtMs, () =>
            applyDisruption[type](rig, engine),
          );
        }
        rig.start();
        await advancePastDeadline(rig);
        checkInvariants(rig, scenario.maxTokens);
      }),
      {seed, numRuns},
    );
  });

  // A stream was given up when its engine paused and no other one could go on
  // with it.
  it(`completes every stream whose engines only pause (seed ${seed})`, async () => {
    await fc.assert(
      fc.asyncProperty(anyPauses, async scenario => {
        const rig = createRig(scenario);
        for (const {atMs, durationMs, engine} of scenario.pauses) {
          const pausedEngine = rig.engines[engine % scenario.engineCount]!;
          rig.clock.after(atMs, () => (pausedEngine.isPaused = true));
          rig.clock.after(
            atMs + durationMs,
            () => (pausedEngine.isPaused = false),
          );
        }
        rig.start();
        await advancePastDeadline(rig);
        checkInvariants(rig, scenario.maxTokens);
        assert.equal(rig.result.error, undefined);
        const outcomes = rig.picks.flatMap(pick => pick.outcomes);
        assert.ok(outcomes.filter(outcome => outcome === 'ok').length <= 1);
      }),
      {seed, numRuns},
    );
  });
});
