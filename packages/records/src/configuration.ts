/**
 * The configuration in force on one process: from the platform where this entry
 * is a reader, from peers everywhere, and never to an older version.
 */
import {
  disposableStore,
  emitter,
  every,
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
import {readAccepted, type AcceptedObject} from './acceptedShapes.js';
import type {Configuration, RecordKind} from './contracts.js';
import {createRecordConfirmation} from './recordConfirmation.js';
import {readersOf, type RecordMember} from './recordReaders.js';
import {createRecordSpread} from './recordSpread.js';
import {createRecordTable} from './recordTable.js';

/** The kind of the objects that hold accepted records. */
export const ACCEPTED_KIND = 'accepted';

/** The configuration with what its process needs besides reading it. */
export interface ConfigurationClient extends Configuration, Disposable {
  /** Puts an accepted object in force that this process has read or written itself. */
  offer(key: string, accepted: AcceptedObject): void;
  /** Ids of live members that lack one of the records or did not answer. */
  lacking(records: readonly RecordVersion[]): Promise<readonly string[]>;
  dump(): ConfigurationDump;
}

export interface ConfigurationDump {
  readonly isReady: boolean;
  /** Where the first complete configuration came from. */
  readonly readyFrom: 'nowhere' | 'platform' | 'peers';
  readonly isReading: boolean;
  readonly records: number;
  /** Records that this release could not use. */
  readonly unusable: number;
  readonly versions: readonly RecordVersion[];
}

export interface ConfigurationOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly store: ObjectStore;
  readonly network: PeerNetwork;
  readonly self: RecordMember;
  /** All live members, this one included. */
  readonly members: () => readonly RecordMember[];
  readonly log: Logger;
}

const ROUND_MS = 1000;
/** An entry that hears from no peer for so long reads from the platform itself. */
const LONELY_MS = 5000;

/**
 * Starts to follow the accepted configuration.
 *
 * @example
 * const configuration = createConfiguration({clock, random, store, network, self, members, log});
 * configuration.get('service', 'booking')?.timeoutMs;
 */
export function createConfiguration(
  options: ConfigurationOptions,
): ConfigurationClient {
  const {clock, random, store, network, self, members, log} = options;
  const table = createRecordTable();
  const changed = emitter<{kind: RecordKind; name: string}>();
  const owned = disposableStore();
  let readyFrom: ConfigurationDump['readyFrom'] = 'nowhere';
  let reading: Disposable | undefined;
  let isPulling = false;
  let shouldPull = false;
  let isListing = false;
  let unusable = 0;

  const spread = owned.add(
    createRecordSpread({
      table,
      network,
      clock,
      random,
      isReady,
      apply: applyAll,
    }),
  );
  const confirmation = owned.add(
    createRecordConfirmation({table, network, self, members}),
  );

  function isReady(): boolean {
    return readyFrom !== 'nowhere';
  }

  function applyAll(
    records: readonly RelayedRecord[],
  ): readonly RelayedRecord[] {
    const news = records.filter(record => table.apply(record));
    for (const {kind, name} of news) {
      changed.fire({kind: kind as RecordKind, name});
    }
    return news;
  }

  function read(name: string, value: unknown): RelayedRecord | undefined {
    const record = readAccepted(name, value);
    if (record === undefined) {
      unusable += 1;
      log.warn({record: name}, 'an accepted record cannot be used');
    }
    return record;
  }

  function becomeReady(from: 'platform' | 'peers'): void {
    if (isReady()) {
      return;
    }
    readyFrom = from;
    log.info({from, records: table.digest().count}, 'configuration complete');
  }

  function takeListing(listing: ObjectListing): void {
    const records = listing.objects
      .map(object => read(object.name, object.value))
      .filter(record => record !== undefined);
    const news = applyAll(records);
    // What every starting entry lists, its peers have long had.
    if (isReady()) {
      spread.push(news);
    }
    becomeReady('platform');
  }

  /** An accepted object is never removed: one that is gone stays in force. */
  function startReading(): Disposable {
    return store.watch<AcceptedObject>(ACCEPTED_KIND, {
      onDidList: takeListing,
      onDidPut: object => offer(object.name, object.value),
      onDidRemove: () => {},
    });
  }

  function offer(key: string, accepted: AcceptedObject): void {
    const record = read(key, accepted);
    if (record !== undefined) {
      spread.push(applyAll([record]));
    }
  }

  function shouldRead(): boolean {
    const isLonely = clock.now() - spread.heardAt() > LONELY_MS;
    return (
      isLonely || readersOf(self.failureDomain, members()).includes(self.id)
    );
  }

  function updateReading(): void {
    if (shouldRead()) {
      reading ??= startReading();
      return;
    }
    reading?.dispose();
    reading = undefined;
  }

  async function listOnce(): Promise<void> {
    if (isListing || reading !== undefined) {
      return;
    }
    isListing = true;
    try {
      takeListing(await store.list(ACCEPTED_KIND));
    } catch {
      // The next round tries again, and peers may answer before.
    } finally {
      isListing = false;
    }
  }

  /** Peers that connect while others are asked are asked next. */
  async function pullFromPeers(): Promise<void> {
    shouldPull = true;
    if (isPulling) {
      return;
    }
    isPulling = true;
    try {
      while (shouldPull && !isReady() && !owned.isDisposed) {
        shouldPull = false;
        if ((await spread.pull()) > 0) {
          becomeReady('peers');
        }
      }
    } finally {
      isPulling = false;
    }
  }

  function round(): void {
    updateReading();
    if (isReady()) {
      return;
    }
    void listOnce();
    void pullFromPeers();
  }

  owned.add(
    network.onDidChangePeer((_peer, isOpen) => {
      if (isOpen && !isReady()) {
        void pullFromPeers();
      }
    }),
  );
  owned.add(every(clock, ROUND_MS, round));
  owned.add(toDisposable(() => reading?.dispose()));
  owned.add(changed);
  round();

  return {
    get: (kind, name) => table.get(kind, name),
    list: kind => table.list(kind),
    onDidChange: listener =>
      changed.event(({kind, name}) => listener(kind, name)),
    isReady,
    versions: () => table.versions(),
    offer,
    lacking: records => confirmation.lacking(records),
    dump: () => ({
      isReady: isReady(),
      readyFrom,
      isReading: reading !== undefined,
      records: table.digest().count,
      unusable,
      versions: table.versions(),
    }),
    dispose: () => owned.dispose(),
  };
}
