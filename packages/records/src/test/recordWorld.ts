/** Several simulated entries with peers, a platform and acceptors, and the oracle's checks. */
import assert from 'node:assert/strict';
import {
  seededRandom,
  settlePromises,
  silentLogger,
  virtualClock,
  type Clock,
} from '@skylarkfield/base';
import {memoryPlatform, type MemoryClient} from '@skylarkfield/providers';
import {createMemoryNetwork, MEMORY_SCHEME} from '@skylarkfield/protocol';
import {createAcceptance, type Acceptance} from '../acceptance.js';
import type {AcceptedObject} from '../acceptedShapes.js';
import {
  ACCEPTED_KIND,
  createConfiguration,
  type ConfigurationClient,
} from '../configuration.js';
import type {Move, RecordKind} from '../contracts.js';
import {convertRecord} from '../convertRecord.js';
import {readStatus, STATUS_KIND} from '../recordStatus.js';
import {recordKey} from '../recordTable.js';

/** One simulated entry. */
export interface Entry {
  readonly id: string;
  readonly clock: Clock;
  readonly store: MemoryClient;
  readonly configuration: ConfigurationClient;
  readonly startedAt: number;
  acceptance: Acceptance | undefined;
  /** Highest version seen in force here, per record. */
  readonly seen: Map<string, number>;
  /** Versions that were in force on every entry when this one started. */
  readonly floor: ReadonlyMap<string, number>;
}

const NETWORK_MS = 2;
const CHECK_EVERY_MS = 250;
/** An entry this young is not counted on when a status says in force. */
const YOUNG_MS = 5000;

/**
 * Makes the world without entries.
 *
 * @example
 * const world = createRecordWorld({seed: 1, ids: ['a1', 'a2', 'b1']});
 * world.write('service', 'booking', record);
 * await world.advance(2000);
 */
export function createRecordWorld(options: {
  readonly seed: number;
  readonly ids: readonly string[];
}) {
  const clock = virtualClock();
  const random = seededRandom(options.seed);
  const platform = memoryPlatform({clock, random, historyLimit: 40});
  platform.faults.setSlow(NETWORK_MS);
  const net = createMemoryNetwork({clock, random, delayMs: 1});
  const entries = new Map<string, Entry>();
  /** Every version that operators wrote, by key and source version. */
  const written = new Map<string, Map<number, unknown>>();
  const confirmed = new Map<string, number>();
  const acceptedVersions = new Map<string, number>();

  platform.table.onDidChange(change => {
    if (change.type === 'put' && change.kind === ACCEPTED_KIND) {
      checkAccepted(change.name, change.object.value as AcceptedObject);
    }
    if (change.type === 'put' && change.kind === STATUS_KIND) {
      checkStatus(change.name, change.object.value);
    }
  });

  function checkAccepted(key: string, accepted: AcceptedObject): void {
    const former = acceptedVersions.get(key) ?? -1;
    assert.ok(
      accepted.sourceVersion > former,
      `${key} accepted at ${accepted.sourceVersion} after ${former}`,
    );
    acceptedVersions.set(key, accepted.sourceVersion);
    const moves = platform.table
      .list(ACCEPTED_KIND)
      .objects.filter(object => object.name.startsWith('move.'))
      .map(object => object.value as AcceptedObject)
      .filter(object => !object.isRemoved)
      .map(object => object.value as Move)
      .filter(move => move.deadline > clock.wall())
      .map(move => move.service);
    assert.equal(new Set(moves).size, moves.length, 'two moves on one service');
  }

  function checkStatus(key: string, value: unknown): void {
    const status = readStatus(value);
    if (status?.state !== 'in-force') {
      return;
    }
    confirmed.set(key, status.sourceVersion);
    for (const entry of entries.values()) {
      if (clock.now() - entry.startedAt < YOUNG_MS) {
        continue;
      }
      const version = versionOn(entry, key);
      assert.ok(
        version >= status.sourceVersion,
        `${key} is said to be in force at ${status.sourceVersion}, ${entry.id} has ${version}`,
      );
    }
  }

  function versionOn(entry: Entry, key: string): number {
    const found = entry.configuration
      .versions()
      .find(version => recordKey(version) === key);
    return found?.sourceVersion ?? -1;
  }

  function check(): void {
    for (const entry of entries.values()) {
      const {configuration} = entry;
      for (const {kind, name, sourceVersion} of configuration.versions()) {
        const key = recordKey({kind, name});
        const former = entry.seen.get(key) ?? -1;
        assert.ok(
          sourceVersion >= former,
          `${key} went from ${former} back to ${sourceVersion} on ${entry.id}`,
        );
        if (sourceVersion > former) {
          entry.seen.set(key, sourceVersion);
          checkValue(entry, kind as RecordKind, name, sourceVersion);
        }
      }
      if (!configuration.isReady()) {
        continue;
      }
      for (const [key, version] of entry.floor) {
        const present = versionOn(entry, key);
        assert.ok(
          present >= version,
          `${entry.id} started with ${key} at ${present}, in force was ${version}`,
        );
      }
    }
  }

  function checkValue(
    entry: Entry,
    kind: RecordKind,
    name: string,
    sourceVersion: number,
  ): void {
    const value = entry.configuration.get(kind, name);
    if (value === undefined) {
      return;
    }
    const source = written.get(recordKey({kind, name}))?.get(sourceVersion);
    assert.deepEqual(value, convertRecord(kind, name, source));
  }

  function connectAll(): void {
    const peers = [...entries.keys()].map(id => ({
      id,
      incarnation: 1,
      url: `${MEMORY_SCHEME}${id}`,
    }));
    for (const id of entries.keys()) {
      networks.get(id)?.setPeers(peers);
    }
  }
  const networks = new Map<string, ReturnType<typeof net.start>['network']>();

  function member(id: string) {
    return {id, failureDomain: id.slice(0, 1)};
  }

  function start(id: string): Entry {
    stop(id);
    const peer = net.start(id);
    networks.set(id, peer.network);
    const store = platform.client(id, {clock: peer.clock});
    const own = seededRandom(random.integer(0, 1_000_000));
    const configuration = createConfiguration({
      clock: peer.clock,
      random: own,
      store,
      network: peer.network,
      self: member(id),
      members: () => [...entries.keys()].map(member),
      log: silentLogger(),
    });
    const entry: Entry = {
      id,
      clock: peer.clock,
      store,
      configuration,
      startedAt: clock.now(),
      acceptance: undefined,
      seen: new Map(),
      floor: new Map(confirmed),
    };
    entries.set(id, entry);
    connectAll();
    return entry;
  }

  function stop(id: string): void {
    const entry = entries.get(id);
    if (entry === undefined) {
      return;
    }
    net.crash(id);
    entries.delete(id);
    entry.store.faults.setDown(true);
    entry.acceptance?.dispose();
    entry.configuration.dispose();
    entry.store.dispose();
  }

  /** No lease stands behind it: acceptors race as they like. */
  function accept(id: string): void {
    const entry = entries.get(id);
    if (entry === undefined || entry.acceptance !== undefined) {
      return;
    }
    entry.acceptance = createAcceptance({
      clock: entry.clock,
      random: seededRandom(random.integer(0, 1_000_000)),
      store: entry.store,
      log: silentLogger(),
      canAct: () => true,
      onDidAccept: (key, object) => entry.configuration.offer(key, object),
      lacking: records => entry.configuration.lacking(records),
    });
  }

  function write(kind: RecordKind, name: string, value: unknown): number {
    const key = recordKey({kind, name});
    const versions = written.get(key) ?? new Map<number, unknown>();
    written.set(key, versions);
    versions.set(platform.table.version() + 1, value);
    const write = {kind, name, writeId: 'operator', condition: any};
    return platform.table.put(write, value).version;
  }

  async function advance(spanMs: number): Promise<void> {
    for (let left = spanMs; left > 0; left -= CHECK_EVERY_MS) {
      await clock.advance(Math.min(left, CHECK_EVERY_MS));
      await settlePromises();
      check();
    }
  }

  options.ids.forEach(start);
  return {
    clock,
    platform,
    net,
    entries,
    written,
    start,
    stop,
    accept,
    write,
    advance,
    versionOn,
    remove(kind: RecordKind, name: string) {
      platform.table.remove({kind, name, writeId: 'operator', condition: any});
    },
    status: (key: string) =>
      readStatus(platform.table.get(STATUS_KIND, key)?.value),
    /** Ends every fault and lets everything settle. */
    async heal() {
      platform.faults.setDown(false);
      platform.faults.setSlow(NETWORK_MS);
      platform.faults.loseReplies(0);
      platform.faults.rejectWatches(false);
      platform.faults.silenceWatches(false);
      net.setLoss(0);
      net.healAll();
      for (const id of options.ids) {
        const entry = entries.get(id) ?? start(id);
        entry.store.faults.setDown(false);
        entry.store.faults.loseReplies(0);
        entry.store.faults.rejectWatches(false);
        entry.store.faults.silenceWatches(false);
        net.resume(id);
      }
      connectAll();
      accept(options.ids[0] as string);
      await advance(45_000);
    },
  };
}

const any = {type: 'any'} as const;
