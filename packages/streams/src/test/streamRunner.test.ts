import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {sleep} from '@skylarkfield/base';
import {rightAnswer, type Plan} from './fakeEngine.js';
import {createRig, DEADLINE_MS} from './streamRig.js';

describe('stream runner', () => {
  // An engine refuses, fails, breaks off, falls silent, or sends what belongs
  // to another answer. A caller must notice nothing but a pause: the text goes
  // on at the exact token, without a gap and without a repeat.
  const faults: [Plan['fault'], string[]][] = [
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
      const rig = createRig({plans: [{fault, at: 5}]});
      rig.start();
      await rig.clock.advance(DEADLINE_MS);
      assert.deepEqual(rig.tokens, rightAnswer());
      assert.deepEqual(
        rig.placed.flatMap(record => record.outcomes),
        outcomes,
      );
      assert.equal(rig.result.summary?.attempts, outcomes.length);
    });
  }

  it('goes on at the same engine after a cut, since its cache has the tokens', async () => {
    const rig = createRig({
      plans: [
        {fault: 'cut', at: 5},
        {fault: 'cut', at: 5},
      ],
    });
    rig.start();
    await rig.clock.advance(DEADLINE_MS);
    assert.deepEqual(
      rig.placed.map(record => record.endpoint),
      ['e0', 'e0', 'e1'],
    );
    assert.deepEqual(rig.tokens, rightAnswer());
  });

  // An engine process hangs while its socket stays open. Without the watch the
  // caller would see the text stop until its own deadline.
  it('leaves a hung engine and cancels the attempt there', async () => {
    const rig = createRig();
    rig.start();
    await rig.clock.advance(150);
    rig.engines[0]!.isHung = true;
    await rig.clock.advance(2000);
    assert.deepEqual(rig.tokens, rightAnswer());
    assert.deepEqual(rig.engines[0]!.cancelled, ['r1#1']);
  });

  it('cancels the attempt at the engine when the caller goes', async () => {
    const rig = createRig();
    rig.start();
    await rig.clock.advance(150);
    rig.caller.abort();
    await rig.clock.advance(1);
    assert.equal(rig.result.error?.kind, 'cancelled');
    assert.deepEqual(rig.engines[0]!.cancelled, ['r1#1']);
    assert.deepEqual(rig.placed[0]!.outcomes, ['cancelled']);
  });

  it('hands the KV cache over when the endpoint leaves', async () => {
    const rig = createRig({maxTokens: 400, goneAt: 300});
    rig.start();
    await rig.clock.advance(50);
    rig.leaving[0]!.abort();
    await rig.clock.advance(DEADLINE_MS);
    assert.deepEqual(rig.tokens, rightAnswer());
    assert.equal(rig.engines[1]!.received[0]?.importedCache, 'r1#1');
    assert.deepEqual(rig.engines[0]!.cancelled, ['r1#1']);
  });

  it('gives the prepared place back when the caller goes during a hand-over', async () => {
    const rig = createRig({maxTokens: 400, goneAt: 300});
    rig.start();
    await rig.clock.advance(50);
    rig.leaving[0]!.abort();
    await rig.clock.advance(50);
    rig.caller.abort();
    await rig.clock.advance(1000);
    assert.deepEqual(
      rig.placed.map(record => record.outcomes),
      [['cancelled'], ['cancelled']],
    );
  });

  it('lets an answer that ends soon end at a leaving endpoint', async () => {
    const rig = createRig({maxTokens: 24});
    rig.start();
    await rig.clock.advance(300);
    rig.leaving[0]!.abort();
    await rig.clock.advance(DEADLINE_MS);
    assert.equal(rig.result.summary?.attempts, 1);
  });

  it('does not move an answer that ends well before the endpoint is gone', async () => {
    const rig = createRig({maxTokens: 24, goneAt: 700});
    rig.start();
    await rig.clock.advance(50);
    rig.leaving[0]!.abort();
    await rig.clock.advance(DEADLINE_MS);
    assert.equal(rig.result.summary?.attempts, 1);
  });

  it('says not-run only when no engine was reached', async () => {
    const refused: Plan = {fault: 'refused', at: 0};
    const failed: Plan = {fault: 'failed', at: 0};
    const cases: [Plan[], string][] = [
      [Array.from({length: 20}, () => refused), 'not-run'],
      [[failed, ...Array.from({length: 20}, () => refused)], 'may-have-run'],
    ];
    for (const [plans, run] of cases) {
      const rig = createRig({plans});
      rig.start();
      await rig.clock.advance(DEADLINE_MS);
      assert.equal(rig.result.error?.run, run);
    }
  });

  it('stops retrying fruitless attempts when the budget is used up', async () => {
    const failed: Plan = {fault: 'failed', at: 0};
    const rig = createRig({plans: [failed, failed, failed], retries: 1});
    rig.start();
    await rig.clock.advance(DEADLINE_MS);
    assert.equal(rig.result.error?.kind, 'endpoint-failed');
    assert.equal(rig.placed.length, 2);
  });

  it('gives up when no first token comes by its deadline', async () => {
    const rig = createRig();
    rig.engines.forEach(engine => (engine.isHung = true));
    rig.start();
    await rig.clock.advance(5000);
    assert.equal(rig.result.error?.kind, 'deadline-exceeded');
    assert.equal(rig.result.error?.run, 'may-have-run');
  });

  // A caller reads slowly. The engine must not be taken for stalled meanwhile.
  it('holds the stream back while the caller does not read', async () => {
    const waiting: (() => void)[] = [];
    const rig = createRig({
      deliver: () => new Promise<void>(resolve => waiting.push(resolve)),
    });
    rig.start();
    await rig.clock.advance(DEADLINE_MS - 5000);
    assert.equal(rig.tokens.length, 1);
    assert.equal(rig.placed.length, 1);
    waiting.forEach(resolve => resolve());
    await rig.clock.advance(100);
    assert.equal(rig.tokens.length, 2);
  });

  // A caller paused in reading, and the engine hangs afterwards. Were the pause
  // taken for the engine's pace, the hang would go unnoticed for seconds.
  it('does not take the reading of a caller for the pace of the engine', async () => {
    let held = 0;
    const rig = createRig({
      deliver() {
        held += 1;
        return held === 3 ? sleep(rig.clock, 6000) : undefined;
      },
    });
    rig.start();
    await rig.clock.advance(6150);
    assert.ok(rig.tokens.length > 4);
    rig.engines[0]!.isHung = true;
    await rig.clock.advance(1500);
    assert.deepEqual(rig.tokens, rightAnswer());
  });
});
