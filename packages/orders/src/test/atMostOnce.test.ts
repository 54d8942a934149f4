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

  /** Makes one entry own the shard; returns its id and the peer's id. */
  async function establishOwner(): Promise<{owner: string; peer: string}> {
    cluster.submit('a', 'warm-up');
    await cluster.clock.advance(500);
    const owner = ['a', 'b'].find(isOwner) ?? '';
    return {owner, peer: owner === 'a' ? 'b' : 'a'};
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

  function countRuns(subject: string): number {
    return cluster.runs.filter(run => run.subject === subject).length;
  }

  // The write of a claim has no effect and its response is lost. If the entry
  // sent the order nevertheless and crashed, a retry would run the order again.
  it('sends nothing while the outcome of the claim write is unknown', async () => {
    const {owner, peer} = await establishOwner();
    cluster.entries
      .get(owner)
      ?.process.lostReplyEffects.push('never', 'never', 'never');
    cluster.submit(owner, 'k1');
    await cluster.clock.advance(100);
    assert.equal(countRuns('k1'), 0);
    cluster.crash(owner);
    const retry = cluster.submit(peer, 'k1');
    await cluster.clock.advance(1_000);
    assert.equal(retry.answer?.kind, 'reply');
    assert.equal(countRuns('k1'), 1);
  });

  // An owner is paused between writing a claim and sending the order. Another
  // entry takes the shard over and gets the retry. The paused entry sends the
  // order when it resumes, so the new owner must not send the order.
  it('never dispatches the claim of another entry', async () => {
    const {owner, peer} = await establishOwner();
    cluster.service.waitMs = 400;
    cluster.submit(owner, 'k1');
    await cluster.clock.advance(60);
    assert.equal(countRuns('k1'), 0);
    cluster.pause(owner);
    suspect(peer, owner);
    const retry = cluster.submit(peer, 'k1');
    await cluster.clock.advance(2_000);
    assert.equal(retry.answer?.run, 'may-have-run');
    await cluster.resume(owner);
    await cluster.clock.advance(2_000);
    assert.equal(countRuns('k1'), 1);
  });

  // An owner is paused until long after the deadline of an order that it has
  // claimed. By then, the caller may have placed the same order with another
  // provider.
  it('does not send an order whose deadline passed while the entry was paused', async () => {
    const {owner} = await establishOwner();
    cluster.service.waitMs = 400;
    cluster.submit(owner, 'k1', undefined, 1_000);
    await cluster.clock.advance(60);
    cluster.pause(owner);
    await cluster.clock.advance(5_000);
    await cluster.resume(owner);
    await cluster.clock.advance(2_000);
    assert.equal(countRuns('k1'), 0);
  });

  // The hand-over of orders that wait for capacity is written, but the response
  // is lost and the platform is slow. If the old owner sent an order once the
  // service has capacity, the new owner would send the order as well.
  it('sends no order whose hand-over may have been written', async () => {
    const {owner, peer} = await establishOwner();
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
      assert.equal(countRuns(subject), 1);
    }
    assert.ok(isOwner(peer));
  });

  // A caller's deadline passes while the hand-over of its order is being
  // written. The next owner may already run the order, so `not-run` would be
  // false.
  it('does not report not-run while the hand-over is being written', async () => {
    const {owner} = await establishOwner();
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

  // An entry forwards an order to a paused owner, then takes the shard over,
  // and the service rejects the call. The paused owner runs the order when it
  // resumes, so `not-run` would be false.
  it('does not report not-run for an order forwarded to an owner that did not respond', async () => {
    const {owner, peer} = await establishOwner();
    const order = cluster.submit(peer, 'k1');
    cluster.pause(owner);
    await cluster.clock.advance(5);
    suspect(peer, owner);
    cluster.service.rejectedShare = 1;
    await cluster.clock.advance(3_000);
    assert.equal(order.answer?.run, 'may-have-run');
    cluster.service.rejectedShare = 0;
    await cluster.resume(owner);
    await cluster.clock.advance(3_000);
  });

  // A forwarded order is rejected and reported as not run; then the same
  // message is delivered again. The order must not run.
  it('does not run an order when its message is delivered again after a rejection', async () => {
    cluster.dispose();
    cluster = createCluster(3, {shardCount: 1, maxAttempts: 1});
    ['a', 'b'].forEach(cluster.start);
    const {peer} = await establishOwner();
    cluster.network.duplicatedShare = 1;
    cluster.service.rejectedShare = 1;
    const order = cluster.submit(peer, 'k1');
    await cluster.clock.advance(400);
    assert.equal(order.answer?.run, 'not-run');
    cluster.service.rejectedShare = 0;
    await cluster.clock.advance(5_000);
    assert.equal(countRuns('k1'), 0);
  });

  // The write of a claim takes effect only after the caller's deadline. The
  // caller got `not-run`, which must stay true.
  it('never runs an order reported as not run when its write takes effect late', async () => {
    const {owner} = await establishOwner();
    cluster.entries
      .get(owner)
      ?.process.lostReplyEffects.push('late', 'never', 'never', 'never');
    const order = cluster.submit(owner, 'k1', undefined, 200);
    await cluster.clock.advance(300);
    assert.equal(order.answer?.run, 'not-run');
    await cluster.clock.advance(5_000);
    assert.equal(countRuns('k1'), 0);
    const retry = cluster.submit(owner, 'k1');
    await cluster.clock.advance(1_000);
    assert.equal(retry.answer?.kind, 'reply');
  });

  // The report that a claim is void arrives when the order has been claimed
  // again and is running. If the report removed the new claim, a retry would
  // run the order again.
  it('does not let an old outcome void a newer claim', async () => {
    const {owner} = await establishOwner();
    cluster.service.workMs = 4_000;
    cluster.submit(owner, 'k1');
    await cluster.clock.advance(200);
    assert.equal(countRuns('k1'), 1);
    const id = orderId('chain', 'k1');
    const outcomes = [{state: 'released', id, token: '1.99'}];
    const handler = cluster.entries
      .get(owner)
      ?.process.handlers.get('orderOutcomes');
    handler?.('x', {shard: 0, hops: 0, outcomes} as never);
    await cluster.clock.advance(5_000);
    cluster.submit(owner, 'k1');
    await cluster.clock.advance(5_000);
    assert.equal(countRuns('k1'), 1);
  });

  // A shard changes its owner while the old owner has recorded a reply but not
  // written it. Later the old owner crashes. A retry must get the reply, not
  // `may-have-run`.
  it('delivers unwritten replies to the new owner', async () => {
    cluster.dispose();
    cluster = createCluster(3, {shardCount: 1, outcomeDelayMs: 400});
    ['a', 'b'].forEach(cluster.start);
    const {owner, peer} = await establishOwner();
    const firstRequest = cluster.submit(owner, 'k1');
    await cluster.clock.advance(60);
    assert.equal(firstRequest.answer?.kind, 'reply');
    suspect(peer, owner);
    cluster.submit(peer, 'takes the shard over');
    await cluster.clock.advance(100);
    cluster.entries.get(peer)?.suspects.clear();
    await cluster.clock.advance(1_500);
    cluster.crash(owner);
    const retry = cluster.submit(peer, 'k1');
    await cluster.clock.advance(500);
    assert.equal(retry.answer?.body, firstRequest.answer?.body);
  });

  // A leaving entry waits for the answer to a lost message to the new owner
  // when the reply of another order arrives. If the entry exited without
  // sending that reply to the new owner, a retry would get `may-have-run`.
  it('delivers an outcome that arrived during a delivery round before it exits', async () => {
    const {owner, peer} = await establishOwner();
    cluster.service.waitMs = 1;
    cluster.service.workMs = 100;
    cluster.submit(owner, 'k1');
    await cluster.clock.advance(25);
    cluster.service.workMs = 2_000;
    const lastRequest = cluster.submit(owner, 'k2');
    await cluster.clock.advance(25);
    suspect(peer, owner);
    cluster.network.cuts.add(`${owner}>${peer}`);
    cluster.submit(peer, 'takes the shard over');
    await cluster.clock.advance(450);
    cluster.entries.get(peer)?.suspects.clear();
    const isUnanswered = () => lastRequest.answer === undefined;
    assert.ok(isUnanswered());
    void cluster.leave(owner);
    while (isUnanswered()) {
      await cluster.clock.advance(10);
    }
    cluster.network.cuts.clear();
    await cluster.clock.advance(3_000);
    assert.equal(cluster.entries.get(owner)?.process.isAlive, false);
    const retry = cluster.submit(peer, 'k2');
    await cluster.clock.advance(1_000);
    assert.equal(retry.answer?.body, lastRequest.answer?.body);
  });

  // A claim is written, but the response is lost, and another entry takes over
  // the shard. The caller's deadline passes before the old owner detects the
  // loss. The order was not sent, so a retry must not get `may-have-run`.
  for (const ownerAction of ['keeps running', 'leaves', 'crashes'] as const) {
    it(`voids a claim whose write got no response when the old owner ${ownerAction}`, async () => {
      const {owner, peer} = await establishOwner();
      const process = cluster.entries.get(owner)?.process;
      process?.lostReplyEffects.push('now');
      const shortRequest = cluster.submit(owner, 'k1', undefined, 30);
      await cluster.clock.advance(20);
      suspect(peer, owner);
      cluster.submit(peer, 'takes the shard over');
      await cluster.clock.advance(1_000);
      assert.equal(shortRequest.answer?.run, 'not-run');
      assert.ok(isOwner(peer));
      cluster.entries.get(peer)?.suspects.clear();
      await cluster.clock.advance(1_000);
      await ownerActions[ownerAction](owner);
      const retry = cluster.submit(peer, 'k1');
      await cluster.clock.advance(1_000);
      assert.equal(retry.answer?.kind, 'reply');
    });
  }

  // The service rejects a call before any byte was sent. Another attempt under
  // the same claim can give the caller a reply instead of an error.
  it('repeats a call under the same claim when nothing was sent', async () => {
    const {owner} = await establishOwner();
    cluster.service.rejectedShare = 0.6;
    const orders = Array.from({length: 20}, (_, index) =>
      cluster.submit(owner, `k${index}`),
    );
    await cluster.clock.advance(4_000);
    const replies = orders.filter(({answer}) => answer?.kind === 'reply');
    assert.ok(replies.length > 12);
  });
});
