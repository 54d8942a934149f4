import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRecordSimulation} from './recordSimulation.js';
import {
  createMoveV1,
  createMoveV2,
  serviceV1,
  serviceV2,
} from './sampleRecords.js';

const ENTRY_IDS = ['a1', 'a2', 'a3', 'b1', 'b2', 'b3', 'c1'];

/** Creates a simulation with an acceptor and one service in force. */
async function createSettledSimulation() {
  const simulation = createRecordSimulation({seed: 11, ids: ENTRY_IDS});
  simulation.startAcceptor('a1');
  await simulation.advance(1000);
  const version = simulation.write('service', 'booking', serviceV1);
  await simulation.advance(3000);
  return {simulation, version};
}

describe('configuration', () => {
  it('is in force on every entry once the status reports so', async () => {
    const {simulation, version} = await createSettledSimulation();
    for (const entry of simulation.entries.values()) {
      const service = entry.configuration.get('service', 'booking');
      assert.equal(service?.timeoutMs, 5000);
    }
    const status = simulation.status('service.booking');
    assert.equal(status?.state, 'in-force');
    assert.equal(status.sourceVersion, version);
  });

  // Two watches per failure domain, regardless of the number of entries: more
  // watches would exhaust the rate limit of the platform.
  it('limits the watches on the platform to two per failure domain', async () => {
    const {simulation} = await createSettledSimulation();
    await simulation.advance(10_000);
    const readers = [...simulation.entries.values()].filter(
      entry => entry.configuration.dump().isReading,
    );
    assert.equal(readers.length, 5);
  });

  // All entries but one lose their connection to the platform. If changes came
  // from the platform alone, these entries would keep the old record.
  it('propagates over peers to entries that are cut off from the platform', async () => {
    const {simulation} = await createSettledSimulation();
    for (const entry of simulation.entries.values()) {
      if (entry.id !== 'a1') {
        entry.store.faults.setDown(true);
      }
    }
    const version = simulation.write('service', 'booking', {
      ...serviceV1,
      timeoutMs: 7000,
    });
    await simulation.advance(2000);
    for (const entry of simulation.entries.values()) {
      assert.equal(simulation.versionOn(entry, 'service.booking'), version);
    }
  });

  // Only the acceptor reaches the platform, and it is not a reader. Unless the
  // acceptor pushes accepted records itself, no entry receives them.
  it('propagates from the acceptor when all readers are cut off', async () => {
    const simulation = createRecordSimulation({seed: 11, ids: ENTRY_IDS});
    await simulation.advance(3000);
    const acceptor = [...simulation.entries.values()].find(
      entry => !entry.configuration.dump().isReading,
    );
    assert.ok(acceptor !== undefined);
    simulation.startAcceptor(acceptor.id);
    await simulation.advance(1000);
    for (const entry of simulation.entries.values()) {
      entry.store.faults.setDown(entry !== acceptor);
    }
    const version = simulation.write('service', 'booking', serviceV1);
    await simulation.advance(2000);
    for (const entry of simulation.entries.values()) {
      assert.equal(simulation.versionOn(entry, 'service.booking'), version);
    }
  });

  // An entry reaches neither the platform nor its peers while a record changes.
  // When the partition heals, the entry must catch up without another write.
  it('catches up on an entry after a partition', async () => {
    const {simulation} = await createSettledSimulation();
    simulation.entries.get('c1')?.store.faults.setDown(true);
    simulation.net.pause('c1');
    const version = simulation.write('service', 'booking', serviceV2);
    await simulation.advance(5000);
    assert.deepEqual(simulation.status('service.booking')?.waitingFor, ['c1']);
    simulation.net.resume('c1');
    await simulation.advance(3000);
    const entry = simulation.entries.get('c1');
    assert.ok(entry !== undefined);
    assert.equal(simulation.versionOn(entry, 'service.booking'), version);
    assert.equal(simulation.status('service.booking')?.state, 'in-force');
  });

  // An entry is replaced while the platform is down. The new entry has no
  // stored state and with an empty configuration would reject every caller as
  // unknown.
  it('comes from peers when an entry starts during a platform outage', async () => {
    const {simulation, version} = await createSettledSimulation();
    simulation.platform.faults.setDown(true);
    const entry = simulation.start('c1');
    assert.equal(entry.configuration.isReady(), false);
    await simulation.advance(1000);
    assert.equal(entry.configuration.isReady(), true);
    assert.equal(simulation.versionOn(entry, 'service.booking'), version);
    assert.equal(entry.configuration.dump().readyFrom, 'peers');
  });

  it('is not ready without platform and peers', async () => {
    const simulation = createRecordSimulation({seed: 2, ids: []});
    simulation.platform.faults.setDown(true);
    const entry = simulation.start('a1');
    await simulation.advance(20_000);
    assert.equal(entry.configuration.isReady(), false);
    simulation.platform.faults.setDown(false);
    await simulation.advance(10_000);
    assert.equal(entry.configuration.isReady(), true);
  });

  // An operator writes an invalid record of a running service. The service must
  // keep running unchanged, and the status must list the invalid fields.
  it('keeps the older version of a record in force when a newer version is rejected', async () => {
    const {simulation, version} = await createSettledSimulation();
    const rejectedVersion = simulation.write('service', 'booking', {
      ...serviceV1,
      timeoutMs: 'soon',
      colour: 'red',
    });
    await simulation.advance(3000);
    const status = simulation.status('service.booking');
    assert.equal(status?.state, 'refused');
    assert.equal(status.sourceVersion, rejectedVersion);
    assert.equal(status.acceptedVersion, version);
    assert.deepEqual(status.faults.map(fault => fault.path).sort(), [
      '',
      'timeoutMs',
    ]);
    for (const entry of simulation.entries.values()) {
      assert.equal(simulation.versionOn(entry, 'service.booking'), version);
    }
  });

  it('removes a record from every entry and deletes its status', async () => {
    const {simulation} = await createSettledSimulation();
    simulation.remove('service', 'booking');
    await simulation.advance(4000);
    for (const entry of simulation.entries.values()) {
      assert.equal(entry.configuration.get('service', 'booking'), undefined);
      assert.deepEqual(entry.configuration.list('service'), []);
    }
    assert.equal(simulation.status('service.booking'), undefined);
  });

  // Two moves of one service would send its traffic to two candidates at once.
  it('rejects a second move of a service until the first move is removed', async () => {
    const {simulation} = await createSettledSimulation();
    simulation.write('move', 'first', createMoveV1('booking'));
    await simulation.advance(2000);
    simulation.write('move', 'second', createMoveV2('booking', 'v3'));
    await simulation.advance(2000);
    assert.equal(simulation.status('move.first')?.state, 'in-force');
    const status = simulation.status('move.second');
    assert.equal(status?.state, 'refused');
    assert.match(status.faults[0]?.expected ?? '', /first/);
    simulation.remove('move', 'first');
    await simulation.advance(3000);
    assert.equal(simulation.status('move.second')?.state, 'in-force');
  });

  it('accepts a rejected move once its service is accepted', async () => {
    const {simulation} = await createSettledSimulation();
    simulation.write('move', 'early', createMoveV2('roster'));
    await simulation.advance(2000);
    assert.equal(simulation.status('move.early')?.state, 'refused');
    simulation.write('service', 'roster', serviceV2);
    await simulation.advance(3000);
    assert.equal(simulation.status('move.early')?.state, 'in-force');
  });

  // The acceptor crashes after writing the accepted form, before the status.
  // Unless the next acceptor resumes, the status would describe the previous
  // version forever.
  it('has the status of a record completed by the next acceptor after a crash', async () => {
    const {simulation} = await createSettledSimulation();
    const subscription = simulation.platform.table.onDidChange(change => {
      if (change.kind === 'accepted') {
        subscription.dispose();
        simulation.stop('a1');
      }
    });
    const version = simulation.write('service', 'booking', serviceV2);
    await simulation.advance(2000);
    simulation.startAcceptor('b1');
    await simulation.advance(4000);
    const status = simulation.status('service.booking');
    assert.equal(status?.state, 'in-force');
    assert.equal(status.sourceVersion, version);
  });
});
