import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createCluster, type Cluster} from './cluster.js';

const SETTLE_MS = 10_000;
const LOSE_MS = 15_000;

/** Every running entry lists exactly these. */
function assertAllList(cluster: Cluster, expected: readonly string[]) {
  for (const id of cluster.running.keys()) {
    assert.deepEqual(cluster.liveAt(id), [...expected].sort(), `seen by ${id}`);
  }
}

async function settledCluster(count: number) {
  const cluster = createCluster();
  const ids = cluster.startMany(count);
  await cluster.clock.advance(SETTLE_MS);
  assertAllList(cluster, ids);
  return {cluster, ids};
}

describe('membership', () => {
  for (const count of [1, 2, 7, 40]) {
    it(`lists all of ${count} that start at once`, async () => {
      await settledCluster(count);
    });
  }

  it('counts a killed entry as gone, after another one confirmed it', async () => {
    // An entry's host is taken without notice: its peers hear nothing more.
    // While they list it, callers are sent to an address that doesn't answer.
    const {cluster, ids} = await settledCluster(7);
    cluster.crash('m3');
    await cluster.clock.advance(LOSE_MS);
    assertAllList(
      cluster,
      ids.filter(id => id !== 'm3'),
    );
  });

  it('keeps an entry listed that one peer alone cannot hear', async () => {
    // A broken way from m1 to m2 only: m2 hears nothing of m1, all others do.
    // Without another's word m2 would send its callers away from a healthy entry.
    const {cluster, ids} = await settledCluster(7);
    cluster.net.cut('m1', 'm2');
    for (let second = 0; second < 60; second++) {
      await cluster.clock.advance(1_000);
      const gone = cluster.running
        .get('m2')!
        .members()
        .every(member => member.id !== 'm1');
      assert.equal(gone, false);
    }
    cluster.net.healAll();
    await cluster.clock.advance(SETTLE_MS);
    assertAllList(cluster, ids);
  });

  it('stops listing a leaving entry before leave() resolves', async () => {
    // A planned stop: whoever still lists the entry sends it callers that it
    // has to turn away.
    const {cluster, ids} = await settledCluster(7);
    const rest = ids.filter(id => id !== 'm3');
    let resolved = false;
    const leaving = cluster.running
      .get('m3')!
      .leave()
      .then(() => (resolved = true));
    for (let ms = 0; !resolved && ms < 1_000; ms++) {
      await cluster.clock.advance(1);
    }
    await leaving;
    assert.ok(cluster.clock.now() < SETTLE_MS + 100, 'acknowledged at once');
    assertAllList(cluster, rest);
    assert.ok(!cluster.objectNames().includes('m3'));
  });

  it('takes a restarted entry for a new one at once', async () => {
    // The process dies and comes back under the same id within a second; its
    // peers must not mistake the new one for the silent old one.
    const {cluster, ids} = await settledCluster(7);
    cluster.crash('m3');
    cluster.start('m3');
    await cluster.clock.advance(SETTLE_MS);
    assertAllList(cluster, ids);
    const seen = cluster.running.get('m0')!.members();
    const again = seen.find(member => member.id === 'm3');
    assert.equal(again?.incarnation, 8);
  });

  for (const id of ['m1', 'm3']) {
    it(`is not current after a pause until a peer has answered: ${id}`, async () => {
      // The process is stopped for a minute and goes on as if nothing had
      // happened. Others have taken over what it held: acting before it has
      // heard from them would do things twice.
      const {cluster, ids} = await settledCluster(7);
      const paused = cluster.running.get(id)!;
      cluster.net.pause(id);
      await cluster.clock.advance(60_000);
      assert.ok(!cluster.liveAt('m0').includes(id), 'others count it as gone');
      assert.equal(paused.isCurrent(), false);
      const suspects: string[] = [];
      paused.onDidChange(member => {
        if (member.state === 'suspect') {
          suspects.push(member.id);
        }
      });
      cluster.net.resume(id);
      assert.equal(paused.isCurrent(), false, 'what waited proves nothing');
      await cluster.clock.advance(SETTLE_MS);
      assert.deepEqual(suspects, [], 'the silence was its own');
      assert.equal(paused.isCurrent(), true);
      assertAllList(cluster, ids);
    });
  }

  // Guards against new processes that each count themselves as the whole fleet.
  it('knows of how many entries there are before it has heard of them', async () => {
    const cluster = createCluster();
    const ids = cluster.startMany(9);
    await cluster.clock.advance(10_000);
    ids.forEach(id => cluster.crash(id));
    await cluster.clock.advance(1_000);
    const again = cluster.start('m0');
    assert.equal(again.entryCount(), undefined);
    await cluster.clock.advance(200);
    assert.equal(again.live().length, 1);
    assert.equal(again.entryCount(), 9);
    await cluster.clock.advance(10_000);
    assert.equal(again.entryCount(), 1);
  });

  // Guards against two sides of a cut that each take themselves for the whole fleet within seconds.
  it('counts entries behind a cut for a while', async () => {
    const {cluster, ids} = await settledCluster(9);
    const [side, others] = [ids.slice(0, 4), ids.slice(4)];
    side.forEach(id => cluster.cutOff(id, others));
    await cluster.clock.advance(12_000);
    assert.equal(cluster.running.get('m0')!.live().length, 4);
    assert.equal(cluster.running.get('m0')!.entryCount(), 9);
    assert.equal(cluster.running.get('m8')!.entryCount(), 9);
    await cluster.clock.advance(20_000);
    assert.equal(cluster.running.get('m0')!.entryCount(), 4);
  });

  it('finds both sides of a long cut again', async () => {
    // Two regions lose each other: each side counts the other as gone, removes
    // its objects and goes on. When the cut heals both must list all again.
    const {cluster, ids} = await settledCluster(7);
    const left = ids.slice(0, 3);
    const right = ids.slice(3);
    left.forEach(id => cluster.cutOff(id, right));
    await cluster.clock.advance(200_000);
    assert.deepEqual(cluster.liveAt('m0'), left);
    assert.deepEqual(cluster.liveAt('m6'), right);
    cluster.net.healAll();
    await cluster.clock.advance(60_000);
    assertAllList(cluster, ids);
  });

  it('mends by digests what gossip lost', async () => {
    // News rides once to each neighbour. When some of it is lost an entry would
    // list a dead one, or never hear of a new one, for as long as it runs.
    const {cluster, ids} = await settledCluster(40);
    cluster.net.setLoss(0.7);
    cluster.crash('m3');
    cluster.start('m40');
    await cluster.clock.advance(LOSE_MS);
    cluster.net.setLoss(0);
    await cluster.clock.advance(2 * LOSE_MS);
    assertAllList(
      cluster,
      [...ids, 'm40'].filter(id => id !== 'm3'),
    );
  });

  it('keeps nothing of malformed news', async () => {
    // A faulty release sends news without addresses. Passed on, it would reach
    // every entry, and lookups would answer with holes.
    const {cluster, ids} = await settledCluster(3);
    const {network} = cluster.net.start('odd');
    network.setPeers([{id: 'm0', incarnation: 1, url: 'memory://m0'}]);
    const from = {id: 'odd', state: 'live'} as never;
    network.onDidReceive('memberProbe', () => ({news: from}));
    network.onDidReceive('membersWanted', () => ({news: 5}));
    const probe = network.ask('m0', 'memberProbe', {from}, 1_000);
    const refused = assert.rejects(probe, {kind: 'protocol-violation'});
    await cluster.clock.advance(SETTLE_MS);
    await refused;
    assertAllList(cluster, ids);
  });

  it('joins through a seed while the platform is down', async () => {
    // The platform is out for an hour and a host is replaced meanwhile: the new
    // process can't read who is there and would otherwise serve nobody.
    const {cluster, ids} = await settledCluster(7);
    cluster.platform.faults.setDown(true);
    cluster.start('m7', ['m0']);
    cluster.crash('m1');
    await cluster.clock.advance(LOSE_MS);
    const expected = [...ids, 'm7'].filter(id => id !== 'm1');
    assertAllList(cluster, expected);
    cluster.platform.faults.setDown(false);
    await cluster.clock.advance(60_000);
    assert.ok(cluster.objectNames().includes('m7'));
  });

  it('removes the objects of the dead with few calls', async () => {
    // Without removal each new process would try ever more dead addresses; if
    // every entry removed them, the platform would get a storm of calls.
    const {cluster, ids} = await settledCluster(12);
    const dead = ids.slice(0, 4);
    dead.forEach(id => cluster.crash(id));
    const before = cluster.platformCalls();
    await cluster.clock.advance(240_000);
    assert.deepEqual(cluster.objectNames(), ids.slice(4).sort());
    const calls = cluster.platformCalls() - before;
    assert.ok(calls <= 12, `${calls} calls`);
  });
});
