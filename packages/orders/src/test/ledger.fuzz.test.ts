import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {TIMEOUT_MS} from './cluster.js';
import {
  anySchedules,
  leaveSchedules,
  runSchedule,
  healAndCheck,
} from './schedule.js';

const IS_LONG = process.env.SKYLARKFIELD_FUZZ === 'long';
const CI_SEED = 20_260_801;
const CI_RUNS = 60;
const LONG_RUNS = Number(process.env.SKYLARKFIELD_FUZZ_RUNS ?? 1_000);

/** Time that an entry needs after its start to run a waiting order. */
const START_MARGIN_MS = 2_000;

function parameters(): fc.Parameters<unknown> {
  const freshSeed = IS_LONG ? Date.now() | 0 : CI_SEED;
  const seed = Number(process.env.SKYLARKFIELD_FUZZ_SEED ?? freshSeed);
  if (IS_LONG) {
    console.log(`fuzz seed ${seed}`);
  }
  return {
    seed,
    numRuns: IS_LONG ? LONG_RUNS : CI_RUNS,
    endOnFailure: false,
  };
}

describe('ledger under random schedules', () => {
  it('never runs an order twice and never reports a false not-run', async () => {
    await fc.assert(
      fc.asyncProperty(anySchedules, async schedule => {
        const cluster = await runSchedule(schedule);
        try {
          cluster.check();
          await healAndCheck(cluster);
        } finally {
          cluster.dispose();
        }
      }),
      parameters(),
    );
  });

  it('loses no accepted order on announced reclaims', async () => {
    await fc.assert(
      fc.asyncProperty(leaveSchedules, async schedule => {
        const cluster = await runSchedule(schedule);
        try {
          await healAndCheck(cluster);
          for (const order of cluster.submitted) {
            const {subject, answer, at, timeoutMs} = order;
            assert.ok(answer, `${subject} was not answered`);
            // Without any live entry the answer may stay open, but accepted
            // orders still run when an entry starts before the deadline.
            const until = cluster.emptyUntil(order);
            const hasRun = cluster.runs.some(run => run.subject === subject);
            const isTooLate = (until ?? 0) > at + timeoutMs - START_MARGIN_MS;
            const isExcused =
              timeoutMs < TIMEOUT_MS ||
              (until !== undefined && (hasRun || isTooLate));
            const isKnownOutcome = answer.run !== 'may-have-run';
            assert.ok(
              isKnownOutcome || isExcused,
              `${subject}: ${answer.kind}`,
            );
          }
        } finally {
          cluster.dispose();
        }
      }),
      parameters(),
    );
  });
});
