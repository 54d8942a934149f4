import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {TIMEOUT_MS} from './world.js';
import {anySchedules, leaveSchedules, play, settle} from './schedule.js';

const IS_LONG = process.env.SKYLARKFIELD_FUZZ === 'long';
const CI_SEED = 20_260_801;
const CI_RUNS = 60;
const LONG_RUNS = Number(process.env.SKYLARKFIELD_FUZZ_RUNS ?? 10_000);

function parameters(): fc.Parameters<unknown> {
  const seed = IS_LONG ? Date.now() | 0 : CI_SEED;
  if (IS_LONG) {
    console.log(`fuzz seed ${seed}`);
  }
  return {
    seed: Number(process.env.SKYLARKFIELD_FUZZ_SEED ?? seed),
    numRuns: IS_LONG ? LONG_RUNS : CI_RUNS,
    endOnFailure: false,
  };
}

describe('ledger under any schedule', () => {
  it('never runs an order twice and never says a false not-run', async () => {
    await fc.assert(
      fc.asyncProperty(anySchedules, async schedule => {
        const world = await play(schedule);
        try {
          world.check();
          await settle(world);
        } finally {
          world.dispose();
        }
      }),
      parameters(),
    );
  });

  it('loses no accepted order over announced reclaims', async () => {
    await fc.assert(
      fc.asyncProperty(leaveSchedules, async schedule => {
        const world = await play(schedule);
        try {
          await settle(world);
          for (const {subject, answer, timeoutMs} of world.submitted) {
            assert.ok(answer, `${subject} was not answered`);
            const isHasty = timeoutMs < TIMEOUT_MS;
            // With no entry left the answer may be open, but an accepted order still runs.
            const hasRun = world.runs.some(run => run.subject === subject);
            const isExcused = isHasty || (world.wasDeserted() && hasRun);
            const isFine = answer.run !== 'may-have-run';
            assert.ok(isFine || isExcused, `${subject}: ${answer.kind}`);
          }
        } finally {
          world.dispose();
        }
      }),
      parameters(),
    );
  });
});
