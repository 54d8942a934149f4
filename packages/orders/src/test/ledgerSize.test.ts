import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {LEDGER_KIND, SEGMENT_KIND, type LedgerSettings} from '../index.js';
import {createCluster, type Cluster} from './cluster.js';

const WINDOW_MS = 60_000;
const HOUR_MS = 3_600_000;

describe('ledger size and dedupe window', () => {
  let cluster: Cluster;
  afterEach(() => cluster.dispose());

  function startCluster(settings: Partial<LedgerSettings> = {}): void {
    cluster = createCluster(1, {dedupeWindowMs: WINDOW_MS, ...settings});
    ['a', 'b'].forEach(cluster.start);
  }

  async function placeOrders(count: number, prefix = 'k'): Promise<void> {
    for (let index = 0; index < count; index++) {
      cluster.submit('a', `${prefix}${index}`);
      await cluster.clock.advance(20);
    }
    await cluster.clock.advance(500);
  }

  function objectSizes(kind: string): number[] {
    return cluster.platform.table
      .list(kind)
      .objects.map(({value}) => JSON.stringify(value).length);
  }

  it('keeps the shard object small and replays sealed orders at a new owner', async () => {
    startCluster();
    await placeOrders(60);
    assert.ok(objectSizes(SEGMENT_KIND).length > 5);
    assert.ok(Math.max(...objectSizes(LEDGER_KIND)) < 2_500);
    cluster.crash('a');
    cluster.crash('b');
    cluster.start('c');
    const retries = Array.from({length: 60}, (_, index) =>
      cluster.submit('c', `k${index}`),
    );
    await cluster.clock.advance(1_000);
    assert.ok(retries.every(({answer}) => answer?.isReplay));
    cluster.check();
  });

  // The wall clock jumps ahead by hours. If the dedupe window were measured by
  // wall clock, all keys would be dropped at once and a retry would run its
  // order again.
  it('keeps keys when the wall clock jumps ahead', async () => {
    startCluster();
    await placeOrders(10);
    cluster.clock.shiftWall(5 * HOUR_MS);
    await placeOrders(10, 'later ');
    const retry = cluster.submit('b', 'k3');
    await cluster.clock.advance(500);
    assert.equal(retry.answer?.isReplay, true);
    cluster.check();
  });

  it('removes keys and their segments after the dedupe window', async () => {
    startCluster();
    await placeOrders(30);
    const segmentCountBefore = objectSizes(SEGMENT_KIND).length;
    await cluster.clock.advance(WINDOW_MS / 2);
    const retry = cluster.submit('a', 'k3');
    await cluster.clock.advance(WINDOW_MS);
    await placeOrders(6, 'later ');
    assert.equal(retry.answer?.isReplay, true);
    assert.ok(objectSizes(SEGMENT_KIND).length < segmentCountBefore);
  });

  // The ledger is full. Dropping a key early would break deduplication of
  // retries, so new orders are rejected with a retry delay.
  it('rejects new orders with a retry delay while the ledger is full', async () => {
    startCluster({maxShardBytes: 2_000});
    await placeOrders(30);
    const answers = cluster.submittedRequests.map(({answer}) => answer);
    const rejections = answers.filter(answer => answer?.kind === 'overloaded');
    assert.ok(rejections.length > 5);
    assert.ok(rejections.every(answer => answer?.run === 'not-run'));
    assert.ok(rejections.every(answer => (answer?.retryAfterMs ?? 0) > 0));
    await cluster.clock.advance(2 * WINDOW_MS);
    const laterOrder = cluster.submit('a', 'later');
    await cluster.clock.advance(500);
    assert.equal(laterOrder.answer?.kind, 'reply');
    cluster.check();
  });

  it('reports may-have-run to a retry when the reply was too large to store', async () => {
    startCluster({maxReplyBytes: 3});
    await placeOrders(1);
    const retry = cluster.submit('b', 'k0');
    await cluster.clock.advance(500);
    assert.equal(retry.answer?.kind, 'outcome-unknown');
    assert.equal(retry.answer?.run, 'may-have-run');
    cluster.check();
  });
});
