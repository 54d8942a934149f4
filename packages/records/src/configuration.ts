/**
 * The configuration in force in one process. Readers receive records from the
 * platform, all entries receive records from peers; the version of a record
 * never decreases.
 */
import {
  createDisposableStore,
  createEmitter,
  scheduleRepeatedly,
  toDisposable,
  type Clock,
  type Disposable,
  type Logger,
  type Random,
} from '@skylarkfield/base';
import type {ObjectListing, ObjectStore} from '@skylarkfield/providers';
import type {
  PeerNetwork,
  RecordVersion,
  RelayedRecord,
} from '@skylarkfield/protocol';
import {parseAcceptedRecord, type AcceptedObject} from './acceptedSchemas.js';
import type {Configuration, RecordKind} from './contracts.js';
import {createRecordConfirmation} from './recordConfirmation.js';
import {selectReaders, type RecordMember} from './recordReaders.js';
import {createRecordGossip} from './recordGossip.js';
import {createRecordTable} from './recordTable.js';

/** Kind of the stored objects that hold accepted records. */
export const ACCEPTED_KIND = 'accepted';

/** Configuration, with operations for the process that maintains it. */
export interface ConfigurationClient extends Configuration, Disposable {
  /** Applies an accepted object that this process has read or written. */
  applyAccepted(key: string, accepted: AcceptedObject): void;
  /**
   * Returns the ids of live members that lack any of the records or did not
   * respond.
   */
  membersLacking(records: readonly RecordVersion[]): Promise<readonly string[]>;
  dump(): ConfigurationDump;
}

export interface ConfigurationDump {
  readonly isReady: boolean;
  /** Source of the first complete configuration. */
  readonly readyFrom: 'nowhere' | 'platform' | 'peers';
  /** Whether this process watches the accepted records on the platform. */
  readonly isReading: boolean;
  /** Number of records, including removed records. */
  readonly records: number;
  /** Number of accepted records that this release could not use. */
  readonly unusable: number;
  readonly versions: readonly RecordVersion[];
}

export interface ConfigurationOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly store: ObjectStore;
  readonly network: PeerNetwork;
  readonly self: RecordMember;
  /** All live members, including this one. */
  readonly members: () => readonly RecordMember[];
  readonly log: Logger;
}

const SOURCE_UPDATE_INTERVAL_MS = 1000;
/**
 * Time without messages about records from peers after which an entry watches
 * the platform.
 */
const PEER_SILENCE_TIMEOUT_MS = 5000;

/**
 * Starts to maintain the configuration in force.
 *
 * @example
 * const configuration = createConfiguration({clock, store, ...options});
 * configuration.get('service', 'booking')?.timeoutMs;
 */
export function createConfiguration(
  options: ConfigurationOptions,
): ConfigurationClient {
  const {clock, random, store, network, self, members, log} = options;
  const table = createRecordTable();
  const changeEmitter = createEmitter<{kind: RecordKind; name: string}>();
  const disposables = createDisposableStore();
  let readyFrom: ConfigurationDump['readyFrom'] = 'nowhere';
  let watchSubscription: Disposable | undefined;
  let isPulling = false;
  let isPullRequested = false;
  let isListing = false;
  let unusableCount = 0;

  const gossip = disposables.add(
    createRecordGossip({
      table,
      network,
      clock,
      random,
      isReady,
      apply: applyRecords,
    }),
  );
  const confirmation = disposables.add(
    createRecordConfirmation({table, network, self, members}),
  );

  function isReady(): boolean {
    return readyFrom !== 'nowhere';
  }

  function applyRecords(
    records: readonly RelayedRecord[],
  ): readonly RelayedRecord[] {
    const newRecords = records.filter(record => table.apply(record));
    for (const {kind, name} of newRecords) {
      changeEmitter.fire({kind: kind as RecordKind, name});
    }
    return newRecords;
  }

  function parseOrWarn(
    name: string,
    value: unknown,
  ): RelayedRecord | undefined {
    const record = parseAcceptedRecord(name, value);
    if (record === undefined) {
      unusableCount += 1;
      log.warn(
        {record: name},
        'skipped accepted record that this release cannot use',
      );
    }
    return record;
  }

  function markReady(source: 'platform' | 'peers'): void {
    if (isReady()) {
      return;
    }
    readyFrom = source;
    log.info(
      {from: source, records: table.digest().count},
      'configuration complete',
    );
  }

  function applyListing(listing: ObjectListing): void {
    const records = listing.objects
      .map(object => parseOrWarn(object.name, object.value))
      .filter(record => record !== undefined);
    const newRecords = applyRecords(records);
    // The first listing of a starting entry is not pushed to peers, since they
    // have these records already.
    if (isReady()) {
      gossip.push(newRecords);
    }
    markReady('platform');
  }

  /**
   * Watches the accepted objects. Accepted objects are never deleted, so a
   * record whose object is missing stays in force.
   */
  function startWatch(): Disposable {
    return store.watch<AcceptedObject>(ACCEPTED_KIND, {
      onDidList: applyListing,
      onDidPut: object => applyAccepted(object.name, object.value),
      onDidRemove: () => {},
    });
  }

  function applyAccepted(key: string, accepted: AcceptedObject): void {
    const record = parseOrWarn(key, accepted);
    if (record !== undefined) {
      gossip.push(applyRecords([record]));
    }
  }

  function shouldWatch(): boolean {
    const isIsolated =
      clock.now() - gossip.lastReceivedAt() > PEER_SILENCE_TIMEOUT_MS;
    return (
      isIsolated ||
      selectReaders(self.failureDomain, members()).includes(self.id)
    );
  }

  function updateWatch(): void {
    if (shouldWatch()) {
      watchSubscription ??= startWatch();
      return;
    }
    watchSubscription?.dispose();
    watchSubscription = undefined;
  }

  async function listFromPlatform(): Promise<void> {
    if (isListing || watchSubscription !== undefined) {
      return;
    }
    isListing = true;
    try {
      applyListing(await store.list(ACCEPTED_KIND));
    } catch {
      // The listing is retried in the next round; peers may respond earlier.
    } finally {
      isListing = false;
    }
  }

  /**
   * Pulls records from peers. If called during a pull, pulls once more after it
   * unless the configuration is complete by then.
   */
  async function pullFromPeers(): Promise<void> {
    isPullRequested = true;
    if (isPulling) {
      return;
    }
    isPulling = true;
    try {
      while (isPullRequested && !isReady() && !disposables.isDisposed) {
        isPullRequested = false;
        if ((await gossip.pull()) > 0) {
          markReady('peers');
        }
      }
    } finally {
      isPulling = false;
    }
  }

  function updateSources(): void {
    updateWatch();
    if (isReady()) {
      return;
    }
    void listFromPlatform();
    void pullFromPeers();
  }

  disposables.add(
    network.onDidChangePeer((_peer, isOpen) => {
      if (isOpen && !isReady()) {
        void pullFromPeers();
      }
    }),
  );
  disposables.add(
    scheduleRepeatedly(clock, SOURCE_UPDATE_INTERVAL_MS, updateSources),
  );
  disposables.add(toDisposable(() => watchSubscription?.dispose()));
  disposables.add(changeEmitter);
  updateSources();

  return {
    get: (kind, name) => table.get(kind, name),
    list: kind => table.list(kind),
    onDidChange: listener =>
      changeEmitter.event(({kind, name}) => listener(kind, name)),
    isReady,
    versions: () => table.versions(),
    applyAccepted,
    membersLacking: records => confirmation.membersLacking(records),
    dump: () => ({
      isReady: isReady(),
      readyFrom,
      isReading: watchSubscription !== undefined,
      records: table.digest().count,
      unusable: unusableCount,
      versions: table.versions(),
    }),
    dispose: () => disposables.dispose(),
  };
}
