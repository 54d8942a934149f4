import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {createCluster, TIMEOUT_MS, type Cluster} from './cluster.js';

describe('ledger', () => {
  let cluster: Cluster;
  beforeEach(() => {
    cluster = createCluster(1, {sealThresholdBytes: 16_384});
    ['a', 'b', 'c'].forEach(cluster.start);
  });
  afterEach(() => {
    cluster.check();
    cluster.dispose();
  });

  it('runs an order and replays its reply through any entry', async () => {
    const first = cluster.submit('a', 'k1');
    await cluster.clock.advance(500);
    const again = ['a', 'b', 'c'].map(id => cluster.submit(id, 'k1'));
    await cluster.clock.advance(500);
    assert.equal(first.answer?.kind, 'reply');
    for (const {answer} of again) {
      assert.equal(answer?.body, first.answer?.body);
      assert.equal(answer?.isReplay, true);
    }
    assert.equal(cluster.runs.length, 1);
  });

  it('joins a retry that arrives while the order runs', async () => {
    const both = ['a', 'b'].map(id => cluster.submit(id, 'k1'));
    await cluster.clock.advance(500);
    assert.equal(both[0]?.answer?.body, both[1]?.answer?.body);
    assert.equal(cluster.runs.length, 1);
  });

  it('rejects a key that is reused with another request', async () => {
    cluster.submit('a', 'k1', 'two swatch kits');
    await cluster.clock.advance(500);
    const other = cluster.submit('b', 'k1', 'three swatch kits');
    await cluster.clock.advance(500);
    assert.equal(other.answer?.kind, 'key-conflict');
  });

  it('runs each order without a key once', async () => {
    cluster.submit('a', undefined);
    cluster.submit('a', undefined);
    await cluster.clock.advance(500);
    assert.equal(cluster.runs.length, 2);
  });

  it('commits many claims in one write', async () => {
    cluster.submit('a', 'warm-up');
    await cluster.clock.advance(500);
    const before = cluster.platform.callCounts().writes;
    for (let order = 0; order < 100; order++) {
      cluster.submit('a', `k${order}`);
    }
    await cluster.clock.advance(1_000);
    assert.equal(cluster.runs.length, 101);
    assert.ok(cluster.platform.callCounts().writes - before <= 8);
  });

  // An entry crashes after claiming an order that may have been sent: a retry
  // must get `outcome-unknown`, since running it again could duplicate it.
  it('does not rerun an order whose entry crashed', async () => {
    cluster.service.workMs = 60_000;
    const lost = cluster.submit('a', 'k1');
    await cluster.clock.advance(200);
    const owner = ownerOf(cluster);
    cluster.crash(owner);
    const other = ['a', 'b', 'c'].find(id => id !== owner) ?? '';
    const retry = cluster.submit(other, 'k1');
    await cluster.clock.advance(2 * TIMEOUT_MS);
    assert.equal(cluster.runs.length, 1);
    assert.equal(retry.answer?.kind, 'outcome-unknown');
    assert.notEqual(lost.answer?.run, 'not-run');
  });

  // New orders can't be recorded, so callers get `not-run` and a retry delay at
  // once. A claimed order continues, and its reply is recorded later.
  it('rejects orders while the platform is down and completes claimed ones', async () => {
    cluster.service.workMs = 10_000;
    const claimed = cluster.submit('a', 'k1', undefined, 60_000);
    await cluster.clock.advance(100);
    cluster.platform.faults.setDown(true);
    const rejected = cluster.submit('a', 'k2');
    await cluster.clock.advance(3_000);
    assert.equal(rejected.answer?.kind, 'platform-unavailable');
    assert.equal(rejected.answer?.run, 'not-run');
    assert.ok((rejected.answer?.retryAfterMs ?? 0) > 0);
    await cluster.clock.advance(10_000);
    assert.equal(claimed.answer?.kind, 'reply');
    cluster.platform.faults.setDown(false);
    await cluster.clock.advance(10_000);
    const retry = cluster.submit('b', 'k1');
    await cluster.clock.advance(500);
    assert.equal(retry.answer?.body, claimed.answer?.body);
  });

  // Orders wait for capacity at the service when the host of their entry is
  // reclaimed. They run at the next entry and their callers get the replies.
  it('hands over waiting orders on an announced reclaim', async () => {
    cluster.service.waitMs = 20_000;
    const orders = ['k1', 'k2', 'k3', 'k4'].map(key =>
      cluster.submit('a', key, undefined, 60_000),
    );
    await cluster.clock.advance(200);
    const owners = ['a', 'b', 'c'].filter(id => ownsShard(cluster, id));
    cluster.service.waitMs = 10;
    assert.equal(cluster.runs.length, 0);
    const leaving = owners.slice(0, 2).map(id => cluster.leave(id));
    await cluster.clock.advance(3_000);
    await Promise.all(leaving);
    assert.equal(cluster.runs.length, 4);
    assert.deepEqual(
      orders.map(({answer}) => answer?.kind),
      ['reply', 'reply', 'reply', 'reply'],
    );
  });
});

function ownsShard(cluster: Cluster, id: string): boolean {
  const dump = cluster.entries.get(id)?.ledger.dump() as {
    shards: Array<{state: string}>;
  };
  return dump.shards.some(({state}) => state === 'owned');
}

function ownerOf(cluster: Cluster): string {
  return [...cluster.entries.keys()].find(id => ownsShard(cluster, id)) ?? '';
}
