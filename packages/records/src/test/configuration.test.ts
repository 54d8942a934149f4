import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRecordWorld} from './recordWorld.js';
import {move1, move2, service1, service2} from './sampleRecords.js';

const IDS = ['a1', 'a2', 'a3', 'b1', 'b2', 'b3', 'c1'];

/** A world with an acceptor and one service in force. */
async function createSettledWorld() {
  const world = createRecordWorld({seed: 11, ids: IDS});
  world.accept('a1');
  await world.advance(1000);
  const version = world.write('service', 'booking', service1);
  await world.advance(3000);
  return {world, version};
}

describe('configuration', () => {
  it('is in force on every entry, and the status says so', async () => {
    const {world, version} = await createSettledWorld();
    for (const entry of world.entries.values()) {
      const service = entry.configuration.get('service', 'booking');
      assert.equal(service?.timeoutMs, 5000);
    }
    const status = world.status('service.booking');
    assert.equal(status?.state, 'in-force');
    assert.equal(status.sourceVersion, version);
  });

  // Two watches per failure domain, however many entries there are: more would
  // use up the platform's calls.
  it('keeps few watches on the platform', async () => {
    const {world} = await createSettledWorld();
    await world.advance(10_000);
    const reading = [...world.entries.values()].filter(
      entry => entry.configuration.dump().isReading,
    );
    assert.equal(reading.length, 5);
  });

  // The platform's watches are lost to all entries but one. The others would go
  // on with the old record if they heard of changes from the platform alone.
  it('hears over peers when the platform is cut off', async () => {
    const {world} = await createSettledWorld();
    for (const entry of world.entries.values()) {
      if (entry.id !== 'a1') {
        entry.store.faults.setDown(true);
      }
    }
    const version = world.write('service', 'booking', {
      ...service1,
      timeoutMs: 7000,
    });
    await world.advance(2000);
    for (const entry of world.entries.values()) {
      assert.equal(world.versionOn(entry, 'service.booking'), version);
    }
  });

  // The acceptor alone reaches the platform, and it is none of the readers. What
  // it accepts would stay on the platform, read by nobody.
  it('goes out from the acceptor when all readers are cut off', async () => {
    const world = createRecordWorld({seed: 11, ids: IDS});
    await world.advance(3000);
    const acceptor = [...world.entries.values()].find(
      entry => !entry.configuration.dump().isReading,
    );
    assert.ok(acceptor !== undefined);
    world.accept(acceptor.id);
    await world.advance(1000);
    for (const entry of world.entries.values()) {
      entry.store.faults.setDown(entry !== acceptor);
    }
    const version = world.write('service', 'booking', service1);
    await world.advance(2000);
    for (const entry of world.entries.values()) {
      assert.equal(world.versionOn(entry, 'service.booking'), version);
    }
  });

  // An entry hears neither the platform nor its peers while a record changes.
  // When the cut heals it has to catch up without anybody writing again.
  it('catches up after a cut', async () => {
    const {world} = await createSettledWorld();
    world.entries.get('c1')?.store.faults.setDown(true);
    world.net.pause('c1');
    const version = world.write('service', 'booking', service2);
    await world.advance(5000);
    assert.deepEqual(world.status('service.booking')?.waitingFor, ['c1']);
    world.net.resume('c1');
    await world.advance(3000);
    const entry = world.entries.get('c1');
    assert.ok(entry !== undefined);
    assert.equal(world.versionOn(entry, 'service.booking'), version);
    assert.equal(world.status('service.booking')?.state, 'in-force');
  });

  // An entry is replaced while the platform is down. It keeps nothing, and with
  // an empty configuration it would turn every caller away as unknown.
  it('comes from peers when an entry starts during an outage', async () => {
    const {world, version} = await createSettledWorld();
    world.platform.faults.setDown(true);
    const entry = world.start('c1');
    assert.equal(entry.configuration.isReady(), false);
    await world.advance(1000);
    assert.equal(entry.configuration.isReady(), true);
    assert.equal(world.versionOn(entry, 'service.booking'), version);
    assert.equal(entry.configuration.dump().readyFrom, 'peers');
  });

  it('is not ready without platform and peers', async () => {
    const world = createRecordWorld({seed: 2, ids: []});
    world.platform.faults.setDown(true);
    const entry = world.start('a1');
    await world.advance(20_000);
    assert.equal(entry.configuration.isReady(), false);
    world.platform.faults.setDown(false);
    await world.advance(10_000);
    assert.equal(entry.configuration.isReady(), true);
  });

  // An operator makes a mistake in a running service's record. The service has
  // to go on as before, and the operator has to see what is wrong where.
  it('keeps the older version in force when a newer one is refused', async () => {
    const {world, version} = await createSettledWorld();
    const refused = world.write('service', 'booking', {
      ...service1,
      timeoutMs: 'soon',
      colour: 'red',
    });
    await world.advance(3000);
    const status = world.status('service.booking');
    assert.equal(status?.state, 'refused');
    assert.equal(status.sourceVersion, refused);
    assert.equal(status.acceptedVersion, version);
    assert.deepEqual(status.faults.map(fault => fault.path).sort(), [
      '',
      'timeoutMs',
    ]);
    for (const entry of world.entries.values()) {
      assert.equal(world.versionOn(entry, 'service.booking'), version);
    }
  });

  it('removes a record everywhere and takes its status away', async () => {
    const {world} = await createSettledWorld();
    world.remove('service', 'booking');
    await world.advance(4000);
    for (const entry of world.entries.values()) {
      assert.equal(entry.configuration.get('service', 'booking'), undefined);
      assert.deepEqual(entry.configuration.list('service'), []);
    }
    assert.equal(world.status('service.booking'), undefined);
  });

  // Two moves of one service would send its traffic to two versions at once.
  it('refuses a second move of a service until the first is removed', async () => {
    const {world} = await createSettledWorld();
    world.write('move', 'first', move1('booking'));
    await world.advance(2000);
    world.write('move', 'second', move2('booking', 'v3'));
    await world.advance(2000);
    assert.equal(world.status('move.first')?.state, 'in-force');
    const status = world.status('move.second');
    assert.equal(status?.state, 'refused');
    assert.match(status.faults[0]?.expected ?? '', /first/);
    world.remove('move', 'first');
    await world.advance(3000);
    assert.equal(world.status('move.second')?.state, 'in-force');
  });

  it('accepts a move as soon as its service is there', async () => {
    const {world} = await createSettledWorld();
    world.write('move', 'early', move2('roster'));
    await world.advance(2000);
    assert.equal(world.status('move.early')?.state, 'refused');
    world.write('service', 'roster', service2);
    await world.advance(3000);
    assert.equal(world.status('move.early')?.state, 'in-force');
  });

  // The acceptor dies right after writing the accepted form. Without its
  // successor the status would say for ever that the record is on its way.
  it('has its status finished by the next acceptor', async () => {
    const {world} = await createSettledWorld();
    const landed = world.platform.table.onDidChange(change => {
      if (change.kind === 'accepted') {
        landed.dispose();
        world.stop('a1');
      }
    });
    const version = world.write('service', 'booking', service2);
    await world.advance(2000);
    world.accept('b1');
    await world.advance(4000);
    const status = world.status('service.booking');
    assert.equal(status?.state, 'in-force');
    assert.equal(status.sourceVersion, version);
  });
});
