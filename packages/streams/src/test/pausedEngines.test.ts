import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {expectedAnswer, type FaultPlan} from './fakeEngine.js';
import {createRig, DEADLINE_MS} from './streamRig.js';

type Rig = ReturnType<typeof createRig>;

/** Time at which engines pause: before the first token, or in mid-stream. */
const pauseTimesMs = {'before the first token': 10, 'in mid-stream': 150};

const noFault: FaultPlan = {fault: 'none', tokensBeforeFault: 0};
const silent: FaultPlan = {fault: 'silent', tokensBeforeFault: 0};

function setPaused(rig: Rig, engines: readonly number[], isPaused: boolean) {
  engines.forEach(index => (rig.engines[index]!.isPaused = isPaused));
}

/** Starts a request and pauses engines for `durationMs`, starting at `atMs`. */
async function runWithPause(
  rig: Rig,
  {atMs = 150, durationMs = 0, engines = [0]},
): Promise<void> {
  rig.start();
  await rig.clock.advance(atMs);
  setPaused(rig, engines, true);
  await rig.clock.advance(durationMs);
  setPaused(rig, engines, false);
  await rig.clock.advance(DEADLINE_MS);
}

function countSends(rig: Rig): number {
  return rig.engines.reduce(
    (sum, {receivedRequests}) => sum + receivedRequests.length,
    0,
  );
}

describe('a stream whose engine pauses', () => {
  // The stalled attempt was the only one that could complete the answer, and
  // was given up for an attempt that could not be made or stalled as well.
  const cases: [string, number, number[], number][] = [
    ['the only engine pauses', 1, [0], 100],
    ['the only engine pauses without a retry left', 1, [0], 0],
    ['all engines pause', 3, [0, 1, 2], 100],
    ['all engines pause without a retry left', 3, [0, 1, 2], 0],
    ['one of three pauses without a retry left', 3, [0], 0],
  ];
  for (const [name, engineCount, engines, retryBudget] of cases) {
    for (const [time, atMs] of Object.entries(pauseTimesMs)) {
      for (const durationMs of [1400, 2600, 4000]) {
        it(`is complete when ${name} ${time} for ${durationMs} ms`, async () => {
          const rig = createRig({engineCount, retryBudget});
          await runWithPause(rig, {atMs, durationMs, engines});
          assert.equal(rig.result.error, undefined);
          assert.deepEqual(rig.tokens, expectedAnswer());
        });
      }
    }
  }

  // Streams of one silent engine were sent to the next silent one: the prompts
  // were computed again for nothing, and retries were used up.
  for (const engineCount of [1, 3]) {
    for (const [time, atMs] of Object.entries(pauseTimesMs)) {
      it(`is sent once when all of ${engineCount} engines pause ${time}`, async () => {
        const rig = createRig({engineCount});
        const engines = rig.engines.map((_, index) => index);
        await runWithPause(rig, {atMs, durationMs: 1400, engines});
        assert.deepEqual(rig.tokens, expectedAnswer());
        assert.equal(countSends(rig), 1);
        assert.equal(rig.result.summary?.recomputedTokens, 0);
      });
    }
  }

  // An engine that is gone for good must be left as soon as before.
  it('goes on elsewhere within 700 ms when its engine stays silent', async () => {
    const rig = createRig();
    rig.start();
    await rig.clock.advance(150);
    setPaused(rig, [0], true);
    const deliveredCount = rig.tokens.length;
    await rig.clock.advance(700);
    assert.ok(rig.tokens.length > deliveredCount);
    await rig.clock.advance(DEADLINE_MS);
    assert.deepEqual(rig.tokens, expectedAnswer());
    assert.deepEqual(
      rig.picks.map(pick => pick.outcomes),
      [['failed'], ['ok']],
    );
    assert.deepEqual(rig.engines[0]!.cancelledAttempts, ['r1#1']);
  });

  // The router kept sending requests to a silent engine until its streams went
  // on elsewhere, and these used up the retry budget.
  it('reports its engine as failed once another one responds', async () => {
    const rig = createRig({retryBudget: 0});
    rig.start();
    await rig.clock.advance(10);
    setPaused(rig, [0], true);
    await rig.clock.advance(1100);
    assert.deepEqual(rig.picks[0]!.outcomes, ['failed']);
  });

  it('does not report its engine as failed while all are silent', async () => {
    const rig = createRig();
    await runWithPause(rig, {durationMs: 4000, engines: [0, 1, 2]});
    assert.deepEqual(rig.picks[0]!.outcomes, ['ok']);
  });

  // The second engine tried was silent too, which cost a retry, a prompt and
  // the time to the first token's probe.
  it('passes over a silent engine when it goes on elsewhere', async () => {
    const rig = createRig({retryBudget: 0});
    rig.start();
    await rig.clock.advance(150);
    setPaused(rig, [0, 1], true);
    await rig.clock.advance(1100);
    assert.deepEqual(
      rig.engines.map(engine => engine.receivedRequests.length),
      [1, 0, 1],
    );
    await rig.clock.advance(DEADLINE_MS);
    assert.deepEqual(rig.tokens, expectedAnswer());
  });

  it('goes on at its engine when that wakes before another one has sent a token', async () => {
    const rig = createRig({plans: [noFault, silent]});
    await runWithPause(rig, {durationMs: 1100});
    assert.deepEqual(rig.tokens, expectedAnswer());
    assert.deepEqual(
      rig.picks.map(pick => pick.outcomes),
      [['failed'], ['cancelled']],
    );
    assert.deepEqual(rig.engines[0]!.cancelledAttempts, []);
    assert.deepEqual(rig.engines[1]!.cancelledAttempts, ['r1#2']);
  });

  for (const fault of ['failed', 'overloaded', 'refused'] as const) {
    it(`goes on at its engine when the attempt elsewhere is ${fault}`, async () => {
      const failed: FaultPlan = {fault, tokensBeforeFault: 0};
      const plans = [noFault, failed, failed, failed];
      const rig = createRig({plans, engineCount: 2, retryBudget: 0});
      await runWithPause(rig, {durationMs: 1100});
      assert.deepEqual(rig.tokens, expectedAnswer());
      assert.deepEqual(rig.engines[0]!.cancelledAttempts, []);
    });
  }

  it('does not go on elsewhere when its engine wakes with the others', async () => {
    const rig = createRig();
    await runWithPause(rig, {atMs: 10, durationMs: 2000, engines: [0, 1, 2]});
    assert.deepEqual(rig.tokens, expectedAnswer());
    assert.equal(rig.result.summary?.attempts, 1);
  });

  // An engine that restarted after a power loss responds, but its streams are
  // gone without their connections being closed.
  it('is sent again to the only engine when that responds without going on', async () => {
    const rig = createRig({engineCount: 1, plans: [silent]});
    await runWithPause(rig, {durationMs: 2000});
    assert.deepEqual(rig.tokens, expectedAnswer());
    assert.deepEqual(rig.engines[0]!.cancelledAttempts, ['r1#1']);
  });

  for (const [time, atMs] of Object.entries(pauseTimesMs)) {
    it(`takes at most one retry when its engine pauses ${time}`, async () => {
      const rig = createRig({retryBudget: 1});
      await runWithPause(rig, {atMs, durationMs: 3000});
      assert.deepEqual(rig.tokens, expectedAnswer());
      assert.equal(rig.result.summary?.attempts, 2);
    });
  }

  it('is cancelled at both engines when the caller leaves', async () => {
    const rig = createRig({plans: [noFault, silent]});
    rig.start();
    await rig.clock.advance(150);
    setPaused(rig, [0], true);
    await rig.clock.advance(1000);
    rig.callerController.abort();
    await rig.clock.advance(1);
    assert.equal(rig.result.error?.kind, 'cancelled');
    assert.deepEqual(rig.engines[0]!.cancelledAttempts, ['r1#1']);
    assert.deepEqual(rig.engines[1]!.cancelledAttempts, ['r1#2']);
    assert.deepEqual(
      rig.picks.map(pick => pick.outcomes),
      [['failed'], ['cancelled']],
    );
  });

  it('ends at its deadline at both engines when neither goes on', async () => {
    const rig = createRig({
      plans: [noFault, ...Array.from({length: 20}, () => silent)],
    });
    rig.start();
    await rig.clock.advance(150);
    setPaused(rig, [0, 2], true);
    await rig.clock.advance(DEADLINE_MS);
    assert.equal(rig.result.error?.kind, 'deadline-exceeded');
    assert.deepEqual(rig.engines[0]!.cancelledAttempts, ['r1#1']);
    assert.ok(rig.engines[1]!.cancelledAttempts.includes('r1#2'));
    assert.ok(rig.picks.every(pick => pick.outcomes.length === 1));
  });
});
