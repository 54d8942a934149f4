/** Random schedules against the oracle of `recordWorld`: nothing reverts, and in the end all agree. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {convertRecord} from '../convertRecord.js';
import type {RecordKind} from '../contracts.js';
import {createRecordWorld} from './recordWorld.js';
import {
  customer1,
  customer2,
  move1,
  move2,
  service1,
  service2,
} from './sampleRecords.js';

const isLong = process.env['SKYLARKFIELD_FUZZ'] === 'long';
const runs = isLong
  ? Number(process.env['SKYLARKFIELD_FUZZ_RUNS'] ?? 1000)
  : 25;
const seed = isLong ? Date.now() % 1_000_000_000 : 42;
const TIMEOUT_MS = isLong ? 230_000 : 60_000;
const IDS = ['a1', 'a2', 'b1', 'b2', 'c1'];

type World = ReturnType<typeof createRecordWorld>;

/** Kind, name and record, a few of them wrong. */
const writes: readonly [RecordKind, string, unknown][] = [
  ['service', 'booking', service1],
  ['service', 'booking', {...service2, version: 'v2'}],
  ['service', 'booking', {...service1, queue: -1}],
  ['service', 'roster', service2],
  ['customer', 'namu', customer1],
  ['customer', 'namu', customer2],
  ['customer', 'namu', {schema: 3}],
  ['move', 'm1', move1('booking')],
  ['move', 'm2', move2('booking', 'v3')],
  ['move', 'm3', move1('roster')],
];

/** What can happen; each handler takes an entry's id, another's and a size from 0 to 1. */
const handlers = {
  advance: (world, _id, _other, size) => world.advance(20 + size * 6000),
  write(world, _id, _other, size) {
    const [kind, name, value] = pickWrite(size);
    world.write(kind, name, value);
  },
  remove(world, _id, _other, size) {
    const [kind, name] = pickWrite(size);
    world.remove(kind, name);
  },
  accept: (world, id) => world.accept(id),
  restart: (world, id) => void world.start(id),
  stop: (world, id) => world.stop(id),
  pause: (world, id) => world.net.pause(id),
  resume: (world, id) => world.net.resume(id),
  cut: (world, id, other) => world.net.cut(id, other),
  healCuts: world => world.net.healAll(),
  loss: (world, _id, _other, size) => world.net.setLoss(size / 2),
  loseReplies: (world, id, _other, size) =>
    world.entries.get(id)?.store.faults.loseReplies(Math.ceil(size * 3)),
  cutPlatform: (world, id) => world.entries.get(id)?.store.faults.setDown(true),
  healPlatform: (world, id) =>
    world.entries.get(id)?.store.faults.setDown(false),
  silence: (world, id) =>
    world.entries.get(id)?.store.faults.silenceWatches(true),
  platformDown: world => world.platform.faults.setDown(true),
  platformUp: world => world.platform.faults.setDown(false),
  slow: (world, _id, _other, size) =>
    world.platform.faults.setSlow(2 + size * 3000),
  compact: world => world.platform.table.compact(),
} satisfies Record<
  string,
  (world: World, id: string, other: string, size: number) => unknown
>;

function pickWrite(size: number) {
  const index = Math.min(writes.length - 1, Math.floor(size * writes.length));
  return writes[index] as (typeof writes)[number];
}

const names = Object.keys(handlers) as (keyof typeof handlers)[];
const commands = fc.record({
  what: fc.oneof(
    {weight: 10, arbitrary: fc.constant('advance' as const)},
    {weight: 8, arbitrary: fc.constant('write' as const)},
    {weight: 3, arbitrary: fc.constantFrom('accept' as const, 'remove')},
    {weight: 12, arbitrary: fc.constantFrom(...names)},
  ),
  id: fc.constantFrom(...IDS),
  other: fc.constantFrom(...IDS),
  size: fc.integer({min: 0, max: 100}).map(percent => percent / 100),
});

/** After everything healed: the same on every entry, and what the operators wrote last if it is valid. */
function checkAgreement(world: World): void {
  for (const [key, versions] of world.written) {
    const dot = key.indexOf('.');
    const kind = key.slice(0, dot) as RecordKind;
    const name = key.slice(dot + 1);
    const inForce = [...world.entries.values()].map(entry =>
      world.versionOn(entry, key),
    );
    assert.equal(new Set(inForce).size, 1, `${key} differs: ${inForce.join()}`);
    const source = world.platform.table.get(kind, name);
    const [first] = world.entries.values();
    const value = first?.configuration.get(kind, name);
    if (source === undefined) {
      assert.equal(value, undefined, `${key} was removed`);
      continue;
    }
    if (kind !== 'move' && isValid(kind, name, versions.get(source.version))) {
      assert.equal(inForce[0], source.version, `${key} was not put in force`);
      assert.equal(world.status(key)?.state, 'in-force', key);
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

// Acceptors race and are paused, entries die and start anew, the platform and
// the peers come and go. A record that goes back on a single entry takes an
// operator's change away from some callers without anybody noticing.
test(
  `configuration: nothing reverts (${runs} schedules, seed ${seed})`,
  {timeout: TIMEOUT_MS},
  async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.integer(),
        fc.array(commands, {minLength: 5, maxLength: 40, size: 'max'}),
        async (worldSeed, schedule) => {
          const world = createRecordWorld({seed: worldSeed, ids: IDS});
          world.accept('a1');
          world.accept('b1');
          for (const {what, id, other, size} of schedule) {
            await handlers[what](world, id, other, size);
          }
          await world.heal();
          checkAgreement(world);
          IDS.forEach(id => world.stop(id));
        },
      ),
      {numRuns: runs, seed, endOnFailure: isLong},
    );
  },
);
