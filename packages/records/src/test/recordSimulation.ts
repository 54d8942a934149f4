/**
 * Simulated entries with peers, platform and acceptors. Asserts that no record
 * reverts and that statuses report records as in force only when they are.
 */
import assert from 'node:assert/strict';
import {
  seededRandom,
  settlePromises,
  createSilentLogger,
  createVirtualClock,
  type Clock,
} from '@skylarkfield/base';
import {
  createMemoryPlatform,
  type MemoryObjectStoreClient,
} from '@skylarkfield/providers';
import {createMemoryNetwork, MEMORY_URL_PREFIX} from '@skylarkfield/protocol';
import {
  createAcceptanceController,
  type AcceptanceController,
} from '../acceptance.js';
import type {AcceptedObject} from '../acceptedSchemas.js';
import {
  ACCEPTED_KIND,
  createConfiguration,
  type ConfigurationClient,
} from '../configuration.js';
import type {Move, RecordKind} from '../contracts.js';
import {convertRecord} from '../convertRecord.js';
import {parseStatus, STATUS_KIND} from '../recordStatus.js';
import {recordKey} from '../recordTable.js';

export interface SimulatedEntry {
  readonly id: string;
  readonly clock: Clock;
  readonly store: MemoryObjectStoreClient;
  readonly configuration: ConfigurationClient;
  readonly startedAt: number;
  acceptance: AcceptanceController | undefined;
  /** Highest version observed in force on this entry, by record key. */
  readonly highestVersions: Map<string, number>;
  /** Versions that were in force on every entry when this entry started. */
  readonly minVersions: ReadonlyMap<string, number>;
}

const NETWORK_LATENCY_MS = 2;
const INVARIANT_CHECK_INTERVAL_MS = 250;
/** Time after its start during which an entry may lack a record in force. */
const STARTUP_GRACE_MS = 5000;

/**
 * Creates a simulation and starts its entries.
 *
 * @example
 * const simulation = createRecordSimulation({seed: 1, ids: ['a1', 'b1']});
 * simulation.write('service', 'booking', record);
 * await simulation.advance(2000);
 */
export function createRecordSimulation(options: {
  readonly seed: number;
  readonly ids: readonly string[];
}) {
  const clock = createVirtualClock();
  const random = seededRandom(options.seed);
  const platform = createMemoryPlatform({clock, random, historyLimit: 40});
  platform.faults.setDelay(NETWORK_LATENCY_MS);
  const net = createMemoryNetwork({clock, random, delayMs: 1});
  const entries = new Map<string, SimulatedEntry>();
  /** Every record value that operators wrote, by key and source version. */
  const writtenValues = new Map<string, Map<number, unknown>>();
  const confirmedVersions = new Map<string, number>();
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
    const previousVersion = acceptedVersions.get(key) ?? -1;
    assert.ok(
      accepted.sourceVersion > previousVersion,
      `${key} accepted at version ${accepted.sourceVersion} after ${previousVersion}`,
    );
    acceptedVersions.set(key, accepted.sourceVersion);
    const movedServices = platform.table
      .list(ACCEPTED_KIND)
      .objects.filter(object => object.name.startsWith('move.'))
      .map(object => object.value as AcceptedObject)
      .filter(object => !object.isRemoved)
      .map(object => object.value as Move)
      .filter(move => move.deadline > clock.wall())
      .map(move => move.service);
    assert.equal(
      new Set(movedServices).size,
      movedServices.length,
      'two moves of one service are accepted',
    );
  }

  function checkStatus(key: string, value: unknown): void {
    const status = parseStatus(value);
    if (status?.state !== 'in-force') {
      return;
    }
    confirmedVersions.set(key, status.sourceVersion);
    for (const entry of entries.values()) {
      if (clock.now() - entry.startedAt < STARTUP_GRACE_MS) {
        continue;
      }
      const version = versionOn(entry, key);
      assert.ok(
        version >= status.sourceVersion,
        `${key} is reported in force at ${status.sourceVersion}, but ${entry.id} has ${version}`,
      );
    }
  }

  function versionOn(entry: SimulatedEntry, key: string): number {
    const foundVersion = entry.configuration
      .versions()
      .find(version => recordKey(version) === key);
    return foundVersion?.sourceVersion ?? -1;
  }

  function checkInvariants(): void {
    for (const entry of entries.values()) {
      const {configuration} = entry;
      for (const {kind, name, sourceVersion} of configuration.versions()) {
        const key = recordKey({kind, name});
        const previousVersion = entry.highestVersions.get(key) ?? -1;
        assert.ok(
          sourceVersion >= previousVersion,
          `${key} reverted from ${previousVersion} to ${sourceVersion} on ${entry.id}`,
        );
        if (sourceVersion > previousVersion) {
          entry.highestVersions.set(key, sourceVersion);
          checkValue(entry, kind as RecordKind, name, sourceVersion);
        }
      }
      if (!configuration.isReady()) {
        continue;
      }
      for (const [key, version] of entry.minVersions) {
        const currentVersion = versionOn(entry, key);
        assert.ok(
          currentVersion >= version,
          `${entry.id} started with ${key} at ${currentVersion}, but ${version} was in force`,
        );
      }
    }
  }

  function checkValue(
    entry: SimulatedEntry,
    kind: RecordKind,
    name: string,
    sourceVersion: number,
  ): void {
    const value = entry.configuration.get(kind, name);
    if (value === undefined) {
      return;
    }
    const source = writtenValues
      .get(recordKey({kind, name}))
      ?.get(sourceVersion);
    assert.deepEqual(value, convertRecord(kind, name, source));
  }

  function connectAll(): void {
    const peers = [...entries.keys()].map(id => ({
      id,
      incarnation: 1,
      url: `${MEMORY_URL_PREFIX}${id}`,
    }));
    for (const id of entries.keys()) {
      networks.get(id)?.setPeers(peers);
    }
  }
  const networks = new Map<string, ReturnType<typeof net.start>['network']>();

  function memberOf(id: string) {
    return {id, failureDomain: id.slice(0, 1)};
  }

  function start(id: string): SimulatedEntry {
    stop(id);
    const peer = net.start(id);
    networks.set(id, peer.network);
    const store = platform.createClient(id, {clock: peer.clock});
    const entryRandom = seededRandom(random.integer(0, 1_000_000));
    const configuration = createConfiguration({
      clock: peer.clock,
      random: entryRandom,
      store,
      network: peer.network,
      self: memberOf(id),
      members: () => [...entries.keys()].map(memberOf),
      log: createSilentLogger(),
    });
    const entry: SimulatedEntry = {
      id,
      clock: peer.clock,
      store,
      configuration,
      startedAt: clock.now(),
      acceptance: undefined,
      highestVersions: new Map(),
      minVersions: new Map(confirmedVersions),
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

  /** Starts an acceptor that needs no lease, so that several acceptors race. */
  function startAcceptor(id: string): void {
    const entry = entries.get(id);
    if (entry === undefined || entry.acceptance !== undefined) {
      return;
    }
    entry.acceptance = createAcceptanceController({
      clock: entry.clock,
      random: seededRandom(random.integer(0, 1_000_000)),
      store: entry.store,
      log: createSilentLogger(),
      canAct: () => true,
      onDidAccept: (key, object) =>
        entry.configuration.applyAccepted(key, object),
      membersLacking: records => entry.configuration.membersLacking(records),
    });
  }

  function write(kind: RecordKind, name: string, value: unknown): number {
    const key = recordKey({kind, name});
    const versions = writtenValues.get(key) ?? new Map<number, unknown>();
    writtenValues.set(key, versions);
    versions.set(platform.table.version() + 1, value);
    const writeRequest = {
      kind,
      name,
      writeId: 'operator',
      condition: ANY_VERSION,
    };
    return platform.table.put(writeRequest, value).version;
  }

  async function advance(durationMs: number): Promise<void> {
    for (
      let remainingMs = durationMs;
      remainingMs > 0;
      remainingMs -= INVARIANT_CHECK_INTERVAL_MS
    ) {
      await clock.advance(Math.min(remainingMs, INVARIANT_CHECK_INTERVAL_MS));
      await settlePromises();
      checkInvariants();
    }
  }

  options.ids.forEach(start);
  return {
    clock,
    platform,
    net,
    entries,
    writtenValues,
    start,
    stop,
    startAcceptor,
    write,
    advance,
    versionOn,
    remove(kind: RecordKind, name: string) {
      platform.table.remove({
        kind,
        name,
        writeId: 'operator',
        condition: ANY_VERSION,
      });
    },
    status: (key: string) =>
      parseStatus(platform.table.get(STATUS_KIND, key)?.value),
    /**
     * Ends every fault, then advances for longer than the entries need to
     * converge.
     */
    async heal() {
      platform.faults.setDown(false);
      platform.faults.setDelay(NETWORK_LATENCY_MS);
      platform.faults.loseReplies(0);
      platform.faults.setRejectingWatches(false);
      platform.faults.setStallingWatches(false);
      net.setLossProbability(0);
      net.healAll();
      for (const id of options.ids) {
        const entry = entries.get(id) ?? start(id);
        entry.store.faults.setDown(false);
        entry.store.faults.loseReplies(0);
        entry.store.faults.setRejectingWatches(false);
        entry.store.faults.setStallingWatches(false);
        net.resume(id);
      }
      connectAll();
      startAcceptor(options.ids[0] as string);
      await advance(45_000);
    },
  };
}

const ANY_VERSION = {type: 'any'} as const;
