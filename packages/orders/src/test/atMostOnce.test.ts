import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {orderId} from '../orderIdentity.js';
import {createCluster, type Cluster} from './cluster.js';

describe('ledger guards', () => {
  let cluster: Cluster;
  beforeEach(() => {
    cluster = createCluster(3, {shardCount: 1});
    ['a', 'b'].forEach(cluster.start);
  });
  afterEach(() => {
    cluster.check();
    cluster.dispose();
  });

  /** Makes one entry own the shard; returns it and the other. */
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

  const entryFates = {
    'goes on': () => Promise.resolve(),
    async leaves(id: string) {
      void cluster.leave(id);
      await cluster.clock.advance(1_000);
    },
    dies: (id: string) => Promise.resolve(cluster.crash(id)),
  };

  function runsOf(subject: string): number {
    return cluster.runs.filter(run => run.subject === subject).length;
  }

  // The write that carries a claim vanishes and so does its reply. An entry that took the claim for
  // written would send the booking; when it dies, nobody knows of it, and the retry books again.
  it('sends nothing while it is not known whether the claim was written', async () => {
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

  // An owner is paused after its claim was written, before it has sent the order. Another entry
  // takes the shard over and gets the retry. When the first wakes it sends its order, so the second
  // must not have sent it.
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

  // An owner is paused until long after the deadline of an order that it had claimed. The caller
  // has given up and made other arrangements: a crew that is sent now comes unasked.
  it('does not send an order after its deadline when it wakes from a pause', async () => {
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

  // An entry leaves and hands its waiting orders over; the mark in the ledger is written, but the
  // reply is lost and the platform is slow. A place at the service becomes free meanwhile: if the
  // old owner sends an order now, the new owner sends it as well.
  it('sends nothing that may have been handed over', async () => {
    const {owner, other} = await electOwner();
    cluster.service.waitMs = 400;
    cluster.service.workMs = 3_000;
    const orders = ['k1', 'k2', 'k3', 'k4'].map(key =>
      cluster.submit(owner, key, undefined, 20_000),
    );
    await cluster.clock.advance(60);
    cluster.entries.get(owner)?.process.lostReplyEffects.push('now');
    cluster.entries.get(owner)?.client.faults.setSlow(1_000);
    void cluster.leave(owner);
    await cluster.clock.advance(10_000);
    for (const {subject, answer} of orders) {
      assert.equal(answer?.kind, 'reply');
      assert.equal(runsOf(subject), 1);
    }
    assert.ok(isOwner(other));
  });

  // A caller's deadline passes while the hand-over of its order is being written. The next owner
  // may run it already, so the caller must not hear that it was not run.
  it('does not call an order not run while its hand-over is being written', async () => {
    const {owner} = await electOwner();
    cluster.service.waitMs = 400;
    const order = cluster.submit(owner, 'k1', undefined, 300);
    await cluster.clock.advance(60);
    cluster.entries.get(owner)?.process.lostReplyEffects.push('now');
    cluster.entries.get(owner)?.client.faults.setSlow(1_000);
    cluster.service.waitMs = 1;
    void cluster.leave(owner);
    await cluster.clock.advance(10_000);
    assert.notEqual(order.answer?.run, 'not-run');
  });

  // An order is forwarded to an owner that is paused. The sender goes on without it and the service
  // refuses. When the owner wakes it runs the order, so `not-run` would have been false.
  it('does not say not-run after an owner stayed silent', async () => {
    const {owner, other} = await electOwner();
    const order = cluster.submit(other, 'k1');
    cluster.pause(owner);
    await cluster.clock.advance(5);
    suspect(other, owner);
    cluster.service.refused = 1;
    await cluster.clock.advance(3_000);
    assert.equal(order.answer?.run, 'may-have-run');
    cluster.service.refused = 0;
    await cluster.resume(owner);
    await cluster.clock.advance(3_000);
  });

  // An order is forwarded, refused and reported as not run; then the same message is delivered a
  // second time. The order must not run after all.
  it('does not run a second delivery of what it has refused', async () => {
    cluster.dispose();
    cluster = createCluster(3, {shardCount: 1, maxAttempts: 1});
    ['a', 'b'].forEach(cluster.start);
    const {other} = await electOwner();
    cluster.network.duplicated = 1;
    cluster.service.refused = 1;
    const order = cluster.submit(other, 'k1');
    await cluster.clock.advance(400);
    assert.equal(order.answer?.run, 'not-run');
    cluster.service.refused = 0;
    await cluster.clock.advance(5_000);
    assert.equal(runsOf('k1'), 0);
  });

  // Many orders wait when the platform goes away in the middle of a write. Their callers hear at
  // once that nothing ran; whatever of the write lands later must not make that untrue.
  it('keeps its word when a write lands after its orders were refused', async () => {
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

  // Word that an earlier claim is void comes late, when the same order has been claimed anew and is
  // running. Were the new claim dropped, a retry would run the order again.
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

  // A shard changes its owner just when a reply has been noted but not written, and then the old
  // owner dies. The retry must hear the reply, not that its booking may have been made.
  it('brings replies that were not written to the new owner', async () => {
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

  // A reply becomes known while its entry is leaving and still waits for an earlier message to the
  // shard's new owner, which was lost. If the entry ended then, the retry of a confirmed booking
  // would hear that it may have run.
  it('brings an outcome that came during a round of messages before it ends', async () => {
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

  // A claim is written, but the reply is lost, and another entry takes the shard with the claim in
  // it. The caller's deadline passes before the first entry learns that. Nothing was sent, yet the
  // retry of the booking would hear that it may have run.
  for (const end of ['goes on', 'leaves', 'dies'] as const) {
    it(`voids a claim that landed unnoticed when its entry ${end}`, async () => {
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
      await entryFates[end](owner);
      const retry = cluster.submit(other, 'k1');
      await cluster.clock.advance(1_000);
      assert.equal(retry.answer?.kind, 'reply');
    });
  }

  // A place at the service is refused before a byte went out. The same claim may be tried again, so
  // the caller gets its answer instead of an error.
  it('tries again under the same claim when nothing was sent', async () => {
    const {owner} = await electOwner();
    cluster.service.refused = 0.6;
    const orders = Array.from({length: 20}, (_, order) =>
      cluster.submit(owner, `k${order}`),
    );
    await cluster.clock.advance(4_000);
    const replies = orders.filter(({answer}) => answer?.kind === 'reply');
    assert.ok(replies.length > 12);
  });
});
