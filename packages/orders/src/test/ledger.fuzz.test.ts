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

/** Time that an entry needs from its start to an order that waits. */
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

describe('ledger under any schedule', () => {
  it('never runs an order twice and never says a false not-run', async () => {
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

  it('loses no accepted order over announced reclaims', async () => {
    await fc.assert(
      fc.asyncProperty(leaveSchedules, async schedule => {
        const cluster = await runSchedule(schedule);
        try {
          await healAndCheck(cluster);
          for (const order of cluster.submitted) {
            const {subject, answer, at, timeoutMs} = order;
            assert.ok(answer, `${subject} was not answered`);
            // With no entry left the answer may be open, but what was accepted still runs when an
            // entry comes before the deadline.
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
