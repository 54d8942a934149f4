import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {eraOf} from '@skylarkfield/providers';
import {createCluster, type Cluster} from './cluster.js';

const SETTLE_MS = 10_000;
/** Time within which the objects of live entries exist again. */
const CHECK_MS = 15_000;
/** Two sweeps, each up to a quarter late, and the time to be gone for. */
const SWEEP_MS = 3 * 75_000;
/** Interval at which an entry is told the era of the store. */
const TELL_INTERVAL_MS = 300;
/** Calls of all entries in any second after a return. */
const MAX_CALLS_PER_SECOND = 40;

/** Lets time pass in which the entries are told the era of the store. */
async function advance(cluster: Cluster, durationMs: number): Promise<void> {
  for (let ms = 0; ms < durationMs; ms += TELL_INTERVAL_MS) {
    const era = eraOf(cluster.platform.table.version());
    cluster.memberships.forEach(({recordStoreEra}) => recordStoreEra(era));
    await cluster.clock.advance(TELL_INTERVAL_MS);
  }
}

async function createSettledCluster(count: number) {
  const cluster = createCluster();
  const ids = cluster.startMany(count);
  await advance(cluster, SETTLE_MS);
  return {cluster, ids};
}

describe('member objects in a store that returns from a copy', () => {
  // Guards against entries that new processes cannot discover for minutes.
  it('include an entry that joined in the lost seconds', async () => {
    const {cluster, ids} = await createSettledCluster(7);
    const copy = cluster.platform.takeCopy();
    cluster.start('m7');
    await advance(cluster, 3_000);
    cluster.platform.restore(copy);
    await advance(cluster, CHECK_MS);
    assert.deepEqual(cluster.objectNames(), [...ids, 'm7'].sort());
  });

  // Guards against objects of earlier processes under the ids of live entries.
  it('describe the new process of an entry restarted in the lost seconds', async () => {
    const {cluster, ids} = await createSettledCluster(7);
    const copy = cluster.platform.takeCopy();
    cluster.crash('m3');
    cluster.start('m3');
    await advance(cluster, 3_000);
    cluster.platform.restore(copy);
    await advance(cluster, CHECK_MS);
    const {value} = cluster.platform.table.get('member', 'm3')!;
    const {incarnation} = value as {incarnation: number};
    assert.equal(incarnation, ids.length + 1);
  });

  // Guards against a check that fails once and is not repeated.
  it('are checked again after the store was away', async () => {
    const {cluster, ids} = await createSettledCluster(7);
    cluster.platform.restore({version: 0, objects: []});
    cluster.platform.faults.setDown(true);
    await advance(cluster, 5_000);
    cluster.platform.faults.setDown(false);
    await advance(cluster, CHECK_MS);
    assert.deepEqual(cluster.objectNames(), ids);
  });

  // Guards against new processes that contact entries that have left.
  it('lose an entry that left in the lost seconds', async () => {
    const {cluster, ids} = await createSettledCluster(7);
    const copy = cluster.platform.takeCopy();
    await cluster.stop('m3');
    cluster.platform.restore(copy);
    assert.ok(cluster.objectNames().includes('m3'));
    await advance(cluster, SWEEP_MS);
    const remainingIds = ids.filter(id => id !== 'm3');
    assert.deepEqual(cluster.objectNames(), remainingIds);
  });

  for (const count of [7, 58, 195]) {
    // Guards against a burst of calls that grows with the cluster.
    it(`cost a bounded rate of calls of ${count} entries`, async () => {
      const {cluster, ids} = await createSettledCluster(count);
      const copy = cluster.platform.takeCopy();
      cluster.start('late');
      await advance(cluster, 3_000);
      cluster.platform.restore(copy);
      const callsBefore = cluster.platformCalls();
      let mostPerSecond = 0;
      for (let ms = 0; ms < CHECK_MS; ms += 900) {
        const callsInSecond = cluster.platformCalls();
        await advance(cluster, 900);
        mostPerSecond = Math.max(
          mostPerSecond,
          cluster.platformCalls() - callsInSecond,
        );
      }
      assert.deepEqual(cluster.objectNames(), [...ids, 'late'].sort());
      // Each entry reads its object once, and one entry writes it.
      assert.equal(cluster.platformCalls() - callsBefore, count + 2);
      assert.ok(mostPerSecond <= MAX_CALLS_PER_SECOND, `${mostPerSecond}`);
    });
  }
});
