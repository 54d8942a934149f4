import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {sleep} from '@skylarkfield/base';
import {expectedAnswer, type FaultPlan} from './fakeEngine.js';
import {createRig, DEADLINE_MS} from './streamRig.js';

describe('stream runner', () => {
  // An engine rejects the request, fails, disconnects, stalls, or sends wrong
  // events. The caller may notice only a pause: the text must continue at the
  // exact token, without a gap or a duplicate.
  const faults: [FaultPlan['fault'], string[]][] = [
    ['none', ['ok']],
    ['refused', ['unreachable', 'ok']],
    ['failed', ['failed', 'ok']],
    ['overloaded', ['overloaded', 'ok']],
    ['cut', ['failed', 'ok']],
    ['silent', ['failed', 'ok']],
    ['busy', ['ok']],
    ['crossed', ['failed', 'ok']],
    ['doubled', ['ok']],
    ['gap', ['failed', 'ok']],
    ['changed', ['failed', 'ok']],
    ['truncated', ['failed', 'ok']],
    ['endless', ['failed', 'ok']],
  ];
  for (const [fault, outcomes] of faults) {
    it(`delivers the exact text when the engine's fault is: ${fault}`, async () => {
      const rig = createRig({plans: [{fault, tokensBeforeFault: 5}]});
      rig.start();
      await rig.clock.advance(DEADLINE_MS);
      assert.deepEqual(rig.tokens, expectedAnswer());
      assert.deepEqual(
        rig.picks.flatMap(pick => pick.outcomes),
        outcomes,
      );
      assert.equal(rig.result.summary?.attempts, outcomes.length);
    });
  }

  it('resumes at the same engine after a disconnect, since its cache has the tokens', async () => {
    const rig = createRig({
      plans: [
        {fault: 'cut', tokensBeforeFault: 5},
        {fault: 'cut', tokensBeforeFault: 5},
      ],
    });
    rig.start();
    await rig.clock.advance(DEADLINE_MS);
    assert.deepEqual(
      rig.picks.map(pick => pick.endpoint),
      ['e0', 'e0', 'e1'],
    );
    assert.deepEqual(rig.tokens, expectedAnswer());
  });

  // An engine process hangs while its socket stays open. Without the stall
  // detector the text would stop until the caller's own deadline.
  it('abandons a hung engine and cancels the attempt at that engine', async () => {
    const rig = createRig();
    rig.start();
    await rig.clock.advance(150);
    rig.engines[0]!.isHung = true;
    await rig.clock.advance(2000);
    assert.deepEqual(rig.tokens, expectedAnswer());
    assert.deepEqual(rig.engines[0]!.cancelledAttempts, ['r1#1']);
  });

  it('cancels the attempt at the engine when the caller aborts', async () => {
    const rig = createRig();
    rig.start();
    await rig.clock.advance(150);
    rig.callerController.abort();
    await rig.clock.advance(1);
    assert.equal(rig.result.error?.kind, 'cancelled');
    assert.deepEqual(rig.engines[0]!.cancelledAttempts, ['r1#1']);
    assert.deepEqual(rig.picks[0]!.outcomes, ['cancelled']);
  });

  it('transfers the KV cache to another endpoint when the endpoint is leaving', async () => {
    const rig = createRig({maxTokens: 400, goneAtMs: 300});
    rig.start();
    await rig.clock.advance(50);
    rig.leavingControllers[0]!.abort();
    await rig.clock.advance(DEADLINE_MS);
    assert.deepEqual(rig.tokens, expectedAnswer());
    assert.equal(rig.engines[1]!.receivedRequests[0]?.importedCache, 'r1#1');
    assert.deepEqual(rig.engines[0]!.cancelledAttempts, ['r1#1']);
  });

  // Guards against answers whose first token arrives while another version is prepared to go on with them.
  it('does not continue an answer at another version than it began at', async () => {
    const rig = createRig({goneAtMs: 300, versions: ['v2', 'v1', 'v2']});
    rig.start();
    await rig.clock.advance(5);
    rig.leavingControllers[0]!.abort();
    await rig.clock.advance(DEADLINE_MS);
    assert.deepEqual(rig.tokens, expectedAnswer());
    const {receivedRequests} = rig.engines[1]!;
    assert.ok(receivedRequests.every(({delivered}) => delivered.length === 0));
    assert.ok(receivedRequests.every(({importedCache}) => !importedCache));
  });

  it('finishes the prepared pick when the caller aborts during a migration', async () => {
    const rig = createRig({maxTokens: 400, goneAtMs: 300});
    rig.start();
    await rig.clock.advance(50);
    rig.leavingControllers[0]!.abort();
    await rig.clock.advance(50);
    rig.callerController.abort();
    await rig.clock.advance(1000);
    assert.deepEqual(
      rig.picks.map(pick => pick.outcomes),
      [['cancelled'], ['cancelled']],
    );
  });

  it('completes a nearly finished answer at a leaving endpoint', async () => {
    const rig = createRig({maxTokens: 24});
    rig.start();
    await rig.clock.advance(300);
    rig.leavingControllers[0]!.abort();
    await rig.clock.advance(DEADLINE_MS);
    assert.equal(rig.result.summary?.attempts, 1);
  });

  it('does not migrate an answer that ends well before the endpoint is gone', async () => {
    const rig = createRig({maxTokens: 24, goneAtMs: 700});
    rig.start();
    await rig.clock.advance(50);
    rig.leavingControllers[0]!.abort();
    await rig.clock.advance(DEADLINE_MS);
    assert.equal(rig.result.summary?.attempts, 1);
  });

  it('reports not-run only when no attempt reached an engine', async () => {
    const refused: FaultPlan = {fault: 'refused', tokensBeforeFault: 0};
    const failed: FaultPlan = {fault: 'failed', tokensBeforeFault: 0};
    const cases: [FaultPlan[], string][] = [
      [Array.from({length: 20}, () => refused), 'not-run'],
      [[failed, ...Array.from({length: 20}, () => refused)], 'may-have-run'],
    ];
    for (const [plans, expectedRun] of cases) {
      const rig = createRig({plans});
      rig.start();
      await rig.clock.advance(DEADLINE_MS);
      assert.equal(rig.result.error?.run, expectedRun);
    }
  });

  it('stops retrying attempts without progress when the retry budget is exhausted', async () => {
    const failed: FaultPlan = {fault: 'failed', tokensBeforeFault: 0};
    const rig = createRig({plans: [failed, failed, failed], retryBudget: 1});
    rig.start();
    await rig.clock.advance(DEADLINE_MS);
    assert.equal(rig.result.error?.kind, 'endpoint-failed');
    assert.equal(rig.picks.length, 2);
  });

  it('fails when no token arrives by the first-token deadline', async () => {
    const rig = createRig();
    rig.engines.forEach(engine => (engine.isHung = true));
    rig.start();
    await rig.clock.advance(5000);
    assert.equal(rig.result.error?.kind, 'deadline-exceeded');
    assert.equal(rig.result.error?.run, 'may-have-run');
  });

  // A caller that reads slowly must not make the engine look stalled.
  it('pauses the stream while the caller does not read', async () => {
    const resolveDeliveries: (() => void)[] = [];
    const rig = createRig({
      deliver: () =>
        new Promise<void>(resolve => resolveDeliveries.push(resolve)),
    });
    rig.start();
    await rig.clock.advance(DEADLINE_MS - 5000);
    assert.equal(rig.tokens.length, 1);
    assert.equal(rig.picks.length, 1);
    resolveDeliveries.forEach(resolve => resolve());
    await rig.clock.advance(100);
    assert.equal(rig.tokens.length, 2);
  });

  // The caller pauses reading, and later the engine hangs. If the pause counted
  // as a token gap, the stall detector would miss the hang for seconds.
  it('does not count a reading pause of the caller as a token gap', async () => {
    let deliveredCount = 0;
    const rig = createRig({
      deliver() {
        deliveredCount += 1;
        return deliveredCount === 3 ? sleep(rig.clock, 6000) : undefined;
      },
    });
    rig.start();
    await rig.clock.advance(6150);
    assert.ok(rig.tokens.length > 4);
    rig.engines[0]!.isHung = true;
    await rig.clock.advance(1500);
    assert.deepEqual(rig.tokens, expectedAnswer());
  });
});
