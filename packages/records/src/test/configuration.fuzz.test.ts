/**
 * Random schedules of writes and faults: no record reverts, and all entries
 * converge.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {convertRecord} from '../convertRecord.js';
import type {RecordKind} from '../contracts.js';
import {createRecordSimulation} from './recordSimulation.js';
import {
  customerV1,
  customerV2,
  createMoveV1,
  createMoveV2,
  serviceV1,
  serviceV2,
} from './sampleRecords.js';

const isLong = process.env['SKYLARKFIELD_FUZZ'] === 'long';
const runCount = isLong
  ? Number(process.env['SKYLARKFIELD_FUZZ_RUNS'] ?? 1000)
  : 25;
const seed = isLong ? Date.now() % 1_000_000_000 : 42;
const TEST_TIMEOUT_MS = isLong ? 230_000 : 60_000;
const ENTRY_IDS = ['a1', 'a2', 'b1', 'b2', 'c1'];

type Simulation = ReturnType<typeof createRecordSimulation>;

/** Kind, name and value of the records to write, some of them invalid. */
const writes: readonly [RecordKind, string, unknown][] = [
  ['service', 'booking', serviceV1],
  ['service', 'booking', {...serviceV2, version: 'v2'}],
  ['service', 'booking', {...serviceV1, queue: -1}],
  ['service', 'roster', serviceV2],
  ['customer', 'namu', customerV1],
  ['customer', 'namu', customerV2],
  ['customer', 'namu', {schema: 3}],
  ['move', 'm1', createMoveV1('booking')],
  ['move', 'm2', createMoveV2('booking', 'v3')],
  ['move', 'm3', createMoveV1('roster')],
];

/**
 * Events of a schedule. A handler gets two entry ids and a random fraction from
 * 0 to 1, of which it uses some. The fraction scales a fault or a time span, or
 * selects a write.
 */
const eventHandlers = {
  advance: (simulation, _id, _other, fraction) =>
    simulation.advance(20 + fraction * 6000),
  write(simulation, _id, _other, fraction) {
    const [kind, name, value] = pickWrite(fraction);
    simulation.write(kind, name, value);
  },
  remove(simulation, _id, _other, fraction) {
    const [kind, name] = pickWrite(fraction);
    simulation.remove(kind, name);
  },
  accept: (simulation, id) => simulation.startAcceptor(id),
  restart: (simulation, id) => void simulation.start(id),
  stop: (simulation, id) => simulation.stop(id),
  pause: (simulation, id) => simulation.net.pause(id),
  resume: (simulation, id) => simulation.net.resume(id),
  cut: (simulation, id, other) => simulation.net.partition(id, other),
  healCuts: simulation => simulation.net.healAll(),
  loss: (simulation, _id, _other, fraction) =>
    simulation.net.setLossProbability(fraction / 2),
  loseReplies: (simulation, id, _other, fraction) =>
    simulation.entries
      .get(id)
      ?.store.faults.loseReplies(Math.ceil(fraction * 3)),
  cutPlatform: (simulation, id) =>
    simulation.entries.get(id)?.store.faults.setDown(true),
  healPlatform: (simulation, id) =>
    simulation.entries.get(id)?.store.faults.setDown(false),
  silence: (simulation, id) =>
    simulation.entries.get(id)?.store.faults.setStallingWatches(true),
  platformDown: simulation => simulation.platform.faults.setDown(true),
  platformUp: simulation => simulation.platform.faults.setDown(false),
  slow: (simulation, _id, _other, fraction) =>
    simulation.platform.faults.setDelay(2 + fraction * 3000),
  compact: simulation => simulation.platform.table.compact(),
} satisfies Record<
  string,
  (
    simulation: Simulation,
    id: string,
    other: string,
    fraction: number,
  ) => unknown
>;

function pickWrite(fraction: number) {
  const index = Math.min(
    writes.length - 1,
    Math.floor(fraction * writes.length),
  );
  return writes[index] as (typeof writes)[number];
}

const eventNames = Object.keys(eventHandlers) as (keyof typeof eventHandlers)[];
const eventArbitrary = fc.record({
  eventName: fc.oneof(
    {weight: 10, arbitrary: fc.constant('advance' as const)},
    {weight: 8, arbitrary: fc.constant('write' as const)},
    {weight: 3, arbitrary: fc.constantFrom('accept' as const, 'remove')},
    {weight: 12, arbitrary: fc.constantFrom(...eventNames)},
  ),
  id: fc.constantFrom(...ENTRY_IDS),
  other: fc.constantFrom(...ENTRY_IDS),
  fraction: fc.integer({min: 0, max: 100}).map(percent => percent / 100),
});

/**
 * Asserts that all entries have the same version of each record, and that this
 * is the last written version if that version is valid.
 */
function checkAgreement(simulation: Simulation): void {
  for (const [key, versions] of simulation.writtenValues) {
    const separator = key.indexOf('.');
    const kind = key.slice(0, separator) as RecordKind;
    const name = key.slice(separator + 1);
    const versionsInForce = [...simulation.entries.values()].map(entry =>
      simulation.versionOn(entry, key),
    );
    assert.equal(
      new Set(versionsInForce).size,
      1,
      `${key} differs between entries: ${versionsInForce.join()}`,
    );
    const source = simulation.platform.table.get(kind, name);
    const [firstEntry] = simulation.entries.values();
    const value = firstEntry?.configuration.get(kind, name);
    if (source === undefined) {
      assert.equal(
        value,
        undefined,
        `${key} is in force although it was removed`,
      );
      continue;
    }
    if (kind !== 'move' && isValid(kind, name, versions.get(source.version))) {
      assert.equal(
        versionsInForce[0],
        source.version,
        `${key} is not in force`,
      );
      assert.equal(simulation.status(key)?.state, 'in-force', key);
    }
  }
}

function isValid(kind: RecordKind, name: string, value: unknown): boolean {
  try {
    convertRecord(kind, name, value);
    return true;
  } catch {
    return false;
  }
}

// Acceptors race and are paused, entries crash and restart, and the platform
// and peers fail and recover. A record that reverts on a single entry silently
// undoes an operator's change for some callers.
test(
  `configuration: no record reverts (${runCount} schedules, seed ${seed})`,
  {timeout: TEST_TIMEOUT_MS},
  async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.integer(),
        fc.array(eventArbitrary, {minLength: 5, maxLength: 40, size: 'max'}),
        async (simulationSeed, schedule) => {
          const simulation = createRecordSimulation({
            seed: simulationSeed,
            ids: ENTRY_IDS,
          });
          simulation.startAcceptor('a1');
          simulation.startAcceptor('b1');
          for (const {eventName, id, other, fraction} of schedule) {
            await eventHandlers[eventName](simulation, id, other, fraction);
          }
          await simulation.heal();
          checkAgreement(simulation);
          ENTRY_IDS.forEach(id => simulation.stop(id));
        },
      ),
      {numRuns: runCount, seed, endOnFailure: isLong},
    );
  },
);
