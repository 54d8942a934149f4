import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createCluster, type Cluster} from './cluster.js';

const SETTLE_MS = 10_000;
const DETECTION_MS = 15_000;
const LARGE_FLEET_SETTLE_MS = 30_000;
/** Time without power after which no entry may list a machine, less a margin. */
const LARGE_FLEET_DETECTION_MS = 6_500;

/** Asserts that every running entry lists exactly the expected ids. */
function assertAllList(cluster: Cluster, expected: readonly string[]) {
  for (const id of cluster.memberships.keys()) {
    assert.deepEqual(
      cluster.liveIdsSeenBy(id),
      [...expected].sort(),
      `seen by ${id}`,
    );
  }
}

async function createSettledCluster(count: number) {
  const cluster = createCluster();
  const ids = cluster.startMany(count);
  await cluster.clock.advance(SETTLE_MS);
  assertAllList(cluster, ids);
  return {cluster, ids};
}

describe('membership', () => {
  for (const count of [1, 2, 7, 40]) {
    it(`lists all of ${count} entries started at once`, async () => {
      await createSettledCluster(count);
    });
  }

  it('declares a crashed entry gone after confirmation by a peer', async () => {
    // An entry's host is lost without notice. While peers still list the entry,
    // callers are sent to an address that does not respond.
    const {cluster, ids} = await createSettledCluster(7);
    cluster.crash('m3');
    await cluster.clock.advance(DETECTION_MS);
    assertAllList(
      cluster,
      ids.filter(id => id !== 'm3'),
    );
  });

  // Guards against callers being sent to a machine without power for longer than they keep a lookup, as few entries notice its silence and the others learn it from them.
  it('is told of a lost entry in a large fleet', async () => {
    const cluster = createCluster();
    const ids = cluster.startMany(68);
    await cluster.clock.advance(LARGE_FLEET_SETTLE_MS);
    assertAllList(cluster, ids);
    cluster.net.pause('m3');
    await cluster.clock.advance(LARGE_FLEET_DETECTION_MS);
    const others = ids.filter(id => id !== 'm3');
    for (const id of others) {
      assert.deepEqual(cluster.liveIdsSeenBy(id), [...others].sort());
    }
  });

  it('keeps an entry that is unreachable from a single peer', async () => {
    // Only the link from m1 to m2 is broken. Without confirmation by another
    // member, m2 would route its callers away from a healthy entry.
    const {cluster, ids} = await createSettledCluster(7);
    cluster.net.partition('m1', 'm2');
    for (let second = 0; second < 60; second++) {
      await cluster.clock.advance(1_000);
      const isGone = cluster.memberships
        .get('m2')!
        .members()
        .every(member => member.id !== 'm1');
      assert.equal(isGone, false);
    }
    cluster.net.healAll();
    await cluster.clock.advance(SETTLE_MS);
    assertAllList(cluster, ids);
  });

  for (const count of [7, 58]) {
    // Guards against requests and callers that are sent to an entry that is cut off.
    it(`tells all of ${count} entries what one of them cannot reach, and when it does again`, async () => {
      const {cluster} = await createSettledCluster(count);
      const unreachableSeenBy = (id: string) =>
        cluster.memberships
          .get(id)!
          .members()
          .find(member => member.id === 'm3')?.unreachableServices;
      const m3 = cluster.memberships.get('m3')!;
      for (const services of [['s'], []]) {
        m3.announceUnreachable(services);
        await cluster.clock.advance(SETTLE_MS);
        for (const id of cluster.memberships.keys()) {
          assert.deepEqual(unreachableSeenBy(id) ?? [], services, id);
        }
      }
    });
  }

  it('stops listing a leaving entry before leave() resolves', async () => {
    // In a planned stop, an entry that still lists the leaving entry sends
    // callers to it, which the leaving entry has to reject.
    const {cluster, ids} = await createSettledCluster(7);
    const remainingIds = ids.filter(id => id !== 'm3');
    let isResolved = false;
    const leaving = cluster.memberships
      .get('m3')!
      .leave()
      .then(() => (isResolved = true));
    for (let ms = 0; !isResolved && ms < 1_000; ms++) {
      await cluster.clock.advance(1);
    }
    await leaving;
    assert.ok(
      cluster.clock.now() < SETTLE_MS + 100,
      'peers acknowledged at once',
    );
    assertAllList(cluster, remainingIds);
    assert.ok(!cluster.objectNames().includes('m3'));
  });

  it('recognizes a restarted entry as a new process', async () => {
    // The process crashes and restarts under the same id within a second; its
    // peers must not mistake the new process for the silent old one.
    const {cluster, ids} = await createSettledCluster(7);
    cluster.crash('m3');
    cluster.start('m3');
    await cluster.clock.advance(SETTLE_MS);
    assertAllList(cluster, ids);
    const listedMembers = cluster.memberships.get('m0')!.members();
    const restartedMember = listedMembers.find(member => member.id === 'm3');
    assert.equal(restartedMember?.incarnation, 8);
  });

  for (const id of ['m1', 'm3']) {
    it(`is not current after a pause until a peer has answered: ${id}`, async () => {
      // The process is suspended for a minute while others take over its work.
      // Acting before a peer has responded would run that work twice.
      const {cluster, ids} = await createSettledCluster(7);
      const pausedMembership = cluster.memberships.get(id)!;
      cluster.net.pause(id);
      await cluster.clock.advance(60_000);
      assert.ok(
        !cluster.liveIdsSeenBy('m0').includes(id),
        'gone for its peers',
      );
      assert.equal(pausedMembership.isCurrent(), false);
      const suspects: string[] = [];
      pausedMembership.onDidChange(member => {
        if (member.state === 'suspect') {
          suspects.push(member.id);
        }
      });
      cluster.net.resume(id);
      assert.equal(
        pausedMembership.isCurrent(),
        false,
        'queued messages do not count',
      );
      await cluster.clock.advance(SETTLE_MS);
      assert.deepEqual(suspects, [], 'no suspicion caused by its own pause');
      assert.equal(pausedMembership.isCurrent(), true);
      assertAllList(cluster, ids);
    });
  }

  // Without the platform's list, each of several new entries would count only
  // itself.
  it('counts listed entries before receiving their updates', async () => {
    const cluster = createCluster();
    const ids = cluster.startMany(9);
    await cluster.clock.advance(10_000);
    ids.forEach(id => cluster.crash(id));
    await cluster.clock.advance(1_000);
    const restartedMembership = cluster.start('m0');
    assert.equal(restartedMembership.entryCount(), undefined);
    await cluster.clock.advance(200);
    assert.equal(restartedMembership.liveMembers().length, 1);
    assert.equal(restartedMembership.entryCount(), 9);
    await cluster.clock.advance(10_000);
    assert.equal(restartedMembership.entryCount(), 1);
  });

  // Without the grace period, each side of a partition would soon count only
  // its own entries.
  it('keeps counting entries behind a partition for a grace period', async () => {
    const {cluster, ids} = await createSettledCluster(9);
    const [leftIds, rightIds] = [ids.slice(0, 4), ids.slice(4)];
    leftIds.forEach(id => cluster.isolate(id, rightIds));
    await cluster.clock.advance(12_000);
    assert.equal(cluster.memberships.get('m0')!.liveMembers().length, 4);
    assert.equal(cluster.memberships.get('m0')!.entryCount(), 9);
    assert.equal(cluster.memberships.get('m8')!.entryCount(), 9);
    await cluster.clock.advance(20_000);
    assert.equal(cluster.memberships.get('m0')!.entryCount(), 4);
  });

  it('merges both sides after a long partition', async () => {
    // Each of two partitioned regions declares the entries of the other region
    // gone and removes their objects. When the partition heals, both must list
    // all entries again.
    const {cluster, ids} = await createSettledCluster(7);
    const leftIds = ids.slice(0, 3);
    const rightIds = ids.slice(3);
    leftIds.forEach(id => cluster.isolate(id, rightIds));
    await cluster.clock.advance(200_000);
    assert.deepEqual(cluster.liveIdsSeenBy('m0'), leftIds);
    assert.deepEqual(cluster.liveIdsSeenBy('m6'), rightIds);
    cluster.net.healAll();
    await cluster.clock.advance(60_000);
    assertAllList(cluster, ids);
  });

  it('recovers updates that gossip lost by comparing digests', async () => {
    // An update is sent to each neighbour only once. If the update is lost, an
    // entry would keep listing a crashed member or never list a new one.
    const {cluster, ids} = await createSettledCluster(40);
    cluster.net.setLossProbability(0.7);
    cluster.crash('m3');
    cluster.start('m40');
    await cluster.clock.advance(DETECTION_MS);
    cluster.net.setLossProbability(0);
    await cluster.clock.advance(2 * DETECTION_MS);
    assertAllList(
      cluster,
      [...ids, 'm40'].filter(id => id !== 'm3'),
    );
  });

  it('rejects malformed member updates', async () => {
    // A faulty release sends updates without addresses. If gossiped, these
    // updates would reach every entry, and lookup results would lack URLs.
    const {cluster, ids} = await createSettledCluster(3);
    const {network} = cluster.net.start('odd');
    network.setPeers([{id: 'm0', incarnation: 1, url: 'memory://m0'}]);
    const malformedUpdate = {id: 'odd', state: 'live'} as never;
    network.addHandler('memberProbe', () => ({news: malformedUpdate}));
    network.addHandler('membersWanted', () => ({news: 5}));
    const probe = network.request(
      'm0',
      'memberProbe',
      {from: malformedUpdate},
      1_000,
    );
    const probeRejection = assert.rejects(probe, {kind: 'protocol-violation'});
    await cluster.clock.advance(SETTLE_MS);
    await probeRejection;
    assertAllList(cluster, ids);
  });

  it('joins through a seed while the platform is down', async () => {
    // A host is replaced during an hour-long platform outage: the new process
    // cannot read the member list and would otherwise serve no caller.
    const {cluster, ids} = await createSettledCluster(7);
    cluster.platform.faults.setDown(true);
    cluster.start('m7', ['m0']);
    cluster.crash('m1');
    await cluster.clock.advance(DETECTION_MS);
    const expectedIds = [...ids, 'm7'].filter(id => id !== 'm1');
    assertAllList(cluster, expectedIds);
    cluster.platform.faults.setDown(false);
    await cluster.clock.advance(60_000);
    assert.ok(cluster.objectNames().includes('m7'));
  });

  it('removes the objects of crashed entries with few platform calls', async () => {
    // Without removal each new process would contact ever more dead addresses;
    // if every entry removed the objects, the platform would receive a burst of
    // calls.
    const {cluster, ids} = await createSettledCluster(12);
    const crashedIds = ids.slice(0, 4);
    crashedIds.forEach(id => cluster.crash(id));
    const callsBefore = cluster.platformCalls();
    await cluster.clock.advance(240_000);
    assert.deepEqual(cluster.objectNames(), ids.slice(4).sort());
    const calls = cluster.platformCalls() - callsBefore;
    assert.ok(calls <= 12, `${calls} calls`);
  });

  // An entry that is cut off or slow declares all others gone, again and again.
  // If each refutation costs a read, the calls of all entries slow them down.
  it('reads each own object at most once a minute, however often entries are declared gone', async () => {
    const {cluster, ids} = await createSettledCluster(12);
    const others = ids.filter(id => id !== 'm3');
    const callsBefore = cluster.platformCalls();
    const cycles = 10;
    for (let cycle = 0; cycle < cycles; cycle++) {
      cluster.isolate('m3', others);
      await cluster.clock.advance(9_000);
      cluster.net.healAll();
      await cluster.clock.advance(9_000);
    }
    const minutes = (cycles * 18_000) / 60_000;
    const calls = cluster.platformCalls() - callsBefore;
    // Both sides of the partition sweep the objects of dead members.
    const maxCalls = (ids.length + 2) * (minutes + 1);
    assert.ok(calls <= maxCalls, `${calls} calls`);
  });
});
