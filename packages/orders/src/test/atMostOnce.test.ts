import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {orderId} from '../orderIdentity.js';
import {createCluster, type Cluster} from './cluster.js';

describe('at-most-once execution', () => {
  let cluster: Cluster;
  beforeEach(() => {
    cluster = createCluster(3, {shardCount: 1});
    ['a', 'b'].forEach(cluster.start);
  });
  afterEach(() => {
    cluster.check();
    cluster.dispose();
  });

  /** Makes an entry the owner of the shard; returns the ids of both entries. */
  async function electOwner(): Promise<{owner: string; other: string}> {
    cluster.submit('a', 'warm-up');
    await cluster.clock.advance(500);
    const owner = ['a', 'b'].find(isOwner) ?? '';
    return {owner, other: owner === 'a' ? 'b' : 'a'};
  }

  function isOwner(id: string): boolean {
    const {shards} = cluster.entries.get(id)?.ledger.dump() as {
      shards: Array<{state: string}>;
    };
    return shards[0]?.state === 'owned';
  }

  function suspect(observer: string, target: string): void {
    cluster.entries.get(observer)?.suspects.add(target);
  }

  const ownerActions = {
    'keeps running': () => Promise.resolve(),
    async leaves(id: string) {
      void cluster.leave(id);
      await cluster.clock.advance(1_000);
    },
    crashes: (id: string) => Promise.resolve(cluster.crash(id)),
  };

  function runsOf(subject: string): number {
    return cluster.runs.filter(run => run.subject === subject).length;
  }

  // A claim is not written and the response is lost. If the entry sent the
  // order all the same and crashed, a retry would run it again.
  it('sends nothing while the outcome of the claim write is unknown', async () => {
    const {owner, other} = await electOwner();
    cluster.entries
      .get(owner)
      ?.process.lostReplyEffects.push('never', 'never', 'never');
    cluster.submit(owner, 'k1');
    await cluster.clock.advance(100);
    assert.equal(runsOf('k1'), 0);
    cluster.crash(owner);
    const retry = cluster.submit(other, 'k1');
    await cluster.clock.advance(1_000);
    assert.equal(retry.answer?.kind, 'reply');
    assert.equal(runsOf('k1'), 1);
  });

  // An owner is paused between writing a claim and sending the order. Another
  // entry takes the shard over and gets the retry. The first entry sends the
  // order when it resumes, so the second must not send it.
  it('never dispatches the claim of another entry', async () => {
    const {owner, other} = await electOwner();
    cluster.service.waitMs = 400;
    cluster.submit(owner, 'k1');
    await cluster.clock.advance(60);
    assert.equal(runsOf('k1'), 0);
    cluster.pause(owner);
    suspect(other, owner);
    const retry = cluster.submit(other, 'k1');
    await cluster.clock.advance(2_000);
    assert.equal(retry.answer?.run, 'may-have-run');
    await cluster.resume(owner);
    await cluster.clock.advance(2_000);
    assert.equal(runsOf('k1'), 1);
  });

  // An owner is paused until long after the deadline of an order that it had
  // claimed. The caller may have ordered elsewhere by then.
  it('does not send an order after its deadline when it resumes from a pause', async () => {
    const {owner} = await electOwner();
    cluster.service.waitMs = 400;
    cluster.submit(owner, 'k1', undefined, 1_000);
    await cluster.clock.advance(60);
    cluster.pause(owner);
    await cluster.clock.advance(5_000);
    await cluster.resume(owner);
    await cluster.clock.advance(2_000);
    assert.equal(runsOf('k1'), 0);
  });

  // The hand-over of waiting orders is written, but the response is lost and
  // the platform is slow. If the old owner sent an order when the service has
  // capacity again, the new owner would send it as well.
  it('sends nothing that may have been handed over', async () => {
    const {owner, other} = await electOwner();
    cluster.service.waitMs = 400;
    cluster.service.workMs = 3_000;
    const orders = ['k1', 'k2', 'k3', 'k4'].map(key =>
      cluster.submit(owner, key, undefined, 20_000),
    );
    await cluster.clock.advance(60);
    cluster.entries.get(owner)?.process.lostReplyEffects.push('now');
    cluster.entries.get(owner)?.client.faults.setDelay(1_000);
    void cluster.leave(owner);
    await cluster.clock.advance(10_000);
    for (const {subject, answer} of orders) {
      assert.equal(answer?.kind, 'reply');
      assert.equal(runsOf(subject), 1);
    }
    assert.ok(isOwner(other));
  });

  // A caller's deadline passes while the hand-over of its order is being
  // written. The next owner may run it already, so `not-run` would be false.
  it('does not report not-run while the hand-over is being written', async () => {
    const {owner} = await electOwner();
    cluster.service.waitMs = 400;
    const order = cluster.submit(owner, 'k1', undefined, 300);
    await cluster.clock.advance(60);
    cluster.entries.get(owner)?.process.lostReplyEffects.push('now');
    cluster.entries.get(owner)?.client.faults.setDelay(1_000);
    cluster.service.waitMs = 1;
    void cluster.leave(owner);
    await cluster.clock.advance(10_000);
    assert.notEqual(order.answer?.run, 'not-run');
  });

  // The sender continues without a paused owner and the service rejects the
  // call. The owner runs the order when it resumes, so `not-run` would be
  // false.
  it('does not report not-run after an owner did not respond', async () => {
    const {owner, other} = await electOwner();
    const order = cluster.submit(other, 'k1');
    cluster.pause(owner);
    await cluster.clock.advance(5);
    suspect(other, owner);
    cluster.service.rejectedShare = 1;
    await cluster.clock.advance(3_000);
    assert.equal(order.answer?.run, 'may-have-run');
    cluster.service.rejectedShare = 0;
    await cluster.resume(owner);
    await cluster.clock.advance(3_000);
  });

  // A forwarded order is rejected and reported as not run; then the same
  // message is delivered again. The order must not run.
  it('does not run a duplicate delivery of an order it rejected', async () => {
    cluster.dispose();
    cluster = createCluster(3, {shardCount: 1, maxAttempts: 1});
    ['a', 'b'].forEach(cluster.start);
    const {other} = await electOwner();
    cluster.network.duplicatedShare = 1;
    cluster.service.rejectedShare = 1;
    const order = cluster.submit(other, 'k1');
    await cluster.clock.advance(400);
    assert.equal(order.answer?.run, 'not-run');
    cluster.service.rejectedShare = 0;
    await cluster.clock.advance(5_000);
    assert.equal(runsOf('k1'), 0);
  });

  // Orders wait when the platform fails during a write. Their callers get
  // `not-run` at once, which must stay true if the write takes effect later.
  it('never runs an order reported as not run when its write takes effect late', async () => {
    const {owner} = await electOwner();
    cluster.entries
      .get(owner)
      ?.process.lostReplyEffects.push('late', 'never', 'never', 'never');
    const order = cluster.submit(owner, 'k1', undefined, 200);
    await cluster.clock.advance(300);
    assert.equal(order.answer?.run, 'not-run');
    await cluster.clock.advance(5_000);
    assert.equal(runsOf('k1'), 0);
    const retry = cluster.submit(owner, 'k1');
    await cluster.clock.advance(1_000);
    assert.equal(retry.answer?.kind, 'reply');
  });

  // The report that a claim is void arrives when the order has been claimed
  // again and is running. If it removed the new claim, a retry would run it
  // again.
  it('does not let an old outcome void a newer claim', async () => {
    const {owner} = await electOwner();
    cluster.service.workMs = 4_000;
    cluster.submit(owner, 'k1');
    await cluster.clock.advance(200);
    assert.equal(runsOf('k1'), 1);
    const id = orderId('chain', 'k1');
    const outcomes = [{state: 'released', id, token: '1.99'}];
    const handler = cluster.entries
      .get(owner)
      ?.process.handlers.get('orderOutcomes');
    handler?.('x', {shard: 0, hops: 0, outcomes} as never);
    await cluster.clock.advance(5_000);
    cluster.submit(owner, 'k1');
    await cluster.clock.advance(5_000);
    assert.equal(runsOf('k1'), 1);
  });

  // A shard changes its owner while a reply is recorded but not written, and
  // the old owner crashes. The retry must get the reply, not `may-have-run`.
  it('delivers unwritten replies to the new owner', async () => {
    cluster.dispose();
    cluster = createCluster(3, {shardCount: 1, outcomeDelayMs: 400});
    ['a', 'b'].forEach(cluster.start);
    const {owner, other} = await electOwner();
    const first = cluster.submit(owner, 'k1');
    await cluster.clock.advance(60);
    assert.equal(first.answer?.kind, 'reply');
    suspect(other, owner);
    cluster.submit(other, 'takes the shard over');
    await cluster.clock.advance(100);
    cluster.entries.get(other)?.suspects.clear();
    await cluster.clock.advance(1_500);
    cluster.crash(owner);
    const retry = cluster.submit(other, 'k1');
    await cluster.clock.advance(500);
    assert.equal(retry.answer?.body, first.answer?.body);
  });

  // A reply arrives while its leaving entry waits for an earlier, lost message
  // to the new owner. If it exited then, the retry would get `may-have-run`.
  it('delivers an outcome that arrived during a delivery round before it exits', async () => {
    const {owner, other} = await electOwner();
    cluster.service.waitMs = 1;
    cluster.service.workMs = 100;
    cluster.submit(owner, 'k1');
    await cluster.clock.advance(25);
    cluster.service.workMs = 2_000;
    const last = cluster.submit(owner, 'k2');
    await cluster.clock.advance(25);
    suspect(other, owner);
    cluster.network.cuts.add(`${owner}>${other}`);
    cluster.submit(other, 'takes the shard over');
    await cluster.clock.advance(450);
    cluster.entries.get(other)?.suspects.clear();
    const isUnanswered = () => last.answer === undefined;
    assert.ok(isUnanswered());
    void cluster.leave(owner);
    while (isUnanswered()) {
      await cluster.clock.advance(10);
    }
    cluster.network.cuts.clear();
    await cluster.clock.advance(3_000);
    assert.equal(cluster.entries.get(owner)?.process.isAlive, false);
    const retry = cluster.submit(other, 'k2');
    await cluster.clock.advance(1_000);
    assert.equal(retry.answer?.body, last.answer?.body);
  });

  // A claim is written, but the response is lost, and another entry takes over
  // the shard. The caller's deadline passes before the first entry detects it.
  // Nothing was sent, yet the retry would get `may-have-run`.
  for (const end of ['keeps running', 'leaves', 'crashes'] as const) {
    it(`voids a claim written without a response when its entry ${end}`, async () => {
      const {owner, other} = await electOwner();
      const process = cluster.entries.get(owner)?.process;
      process?.lostReplyEffects.push('now');
      const shortDeadline = cluster.submit(owner, 'k1', undefined, 30);
      await cluster.clock.advance(20);
      suspect(other, owner);
      cluster.submit(other, 'takes the shard over');
      await cluster.clock.advance(1_000);
      assert.equal(shortDeadline.answer?.run, 'not-run');
      assert.ok(isOwner(other));
      cluster.entries.get(other)?.suspects.clear();
      await cluster.clock.advance(1_000);
      await ownerActions[end](owner);
      const retry = cluster.submit(other, 'k1');
      await cluster.clock.advance(1_000);
      assert.equal(retry.answer?.kind, 'reply');
    });
  }

  // The service rejects a call before any byte was sent. A repeated call under
  // the same claim gives the caller a reply instead of an error.
  it('retries under the same claim when nothing was sent', async () => {
    const {owner} = await electOwner();
    cluster.service.rejectedShare = 0.6;
    const orders = Array.from({length: 20}, (_, order) =>
      cluster.submit(owner, `k${order}`),
    );
    await cluster.clock.advance(4_000);
    const replies = orders.filter(({answer}) => answer?.kind === 'reply');
    assert.ok(replies.length > 12);
  });
});
