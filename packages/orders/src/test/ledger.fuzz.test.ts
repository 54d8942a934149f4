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

/** Time that a started entry may take to run the orders from the ledger. */
const START_MARGIN_MS = 2_000;

function fuzzParameters(): fc.Parameters<unknown> {
  const defaultSeed = IS_LONG ? Date.now() | 0 : CI_SEED;
  const seed = Number(process.env.SKYLARKFIELD_FUZZ_SEED ?? defaultSeed);
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
      fuzzParameters(),
    );
  });

  it('loses no accepted order on announced reclaims', async () => {
    await fc.assert(
      fc.asyncProperty(leaveSchedules, async schedule => {
        const cluster = await runSchedule(schedule);
        try {
          await healAndCheck(cluster);
          for (const request of cluster.submittedRequests) {
            const {subject, answer, submittedAtMs, timeoutMs} = request;
            assert.ok(answer, `${subject} was not answered`);
            // If no entry is live, the outcome may stay unknown to the caller.
            // An accepted order must still run if an entry starts in time
            // before the deadline.
            const endOfPeriodWithoutEntries =
              cluster.endOfPeriodWithoutEntries(request);
            const hasRun = cluster.runs.some(run => run.subject === subject);
            const isTooLate =
              (endOfPeriodWithoutEntries ?? 0) >
              submittedAtMs + timeoutMs - START_MARGIN_MS;
            const isExcused =
              timeoutMs < TIMEOUT_MS ||
              (endOfPeriodWithoutEntries !== undefined &&
                (hasRun || isTooLate));
            const hasCertainOutcome = answer.run !== 'may-have-run';
            assert.ok(
              hasCertainOutcome || isExcused,
              `${subject}: ${answer.kind}`,
            );
          }
        } finally {
          cluster.dispose();
        }
      }),
      fuzzParameters(),
    );
  });
});
