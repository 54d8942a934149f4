/**
 * Gossip of accepted records among entries.
 *
 * New records are pushed at once to a few peers; a peer relays a record when it
 * first receives the record. Digests sent to a few peers every second find
 * records that the pushes missed, so an entry that was cut off catches up from
 * any peer.
 */
import {
  createDisposableStore,
  scheduleRepeatedly,
  type Clock,
  type Disposable,
  type Random,
} from '@skylarkfield/base';
import type {
  PeerNetwork,
  RecordDifference,
  RecordDigest,
  RelayedRecord,
} from '@skylarkfield/protocol';
import {parseRelayedRecord} from './acceptedSchemas.js';
import {recordDifferenceSchema} from './messageSchemas.js';
import {randomSample} from './randomSample.js';
import type {RecordTable} from './recordTable.js';

export interface RecordGossip extends Disposable {
  /** Pushes newly applied records to a few peers, but not to `excludedPeer`. */
  push(records: readonly RelayedRecord[], excludedPeer?: string): void;
  /**
   * Fetches the records that this process lacks from a few peers, and sends
   * them those that they lack. Resolves with the number of peers that returned
   * a complete configuration.
   */
  pull(): Promise<number>;
  /**
   * Returns the monotonic time, in milliseconds, of the last message about
   * records from any peer.
   */
  lastReceivedAt(): number;
}

/** Peers per push; with 4, pushes alone reach about 98 % of the entries. */
const PUSH_FANOUT = 4;
const DIGEST_FANOUT = 2;
const DIGEST_INTERVAL_MS = 1000;
/**
 * Delay between a differing digest and the sync; a push in flight usually
 * resolves the difference.
 */
const SYNC_DELAY_MS = 50;
const PULL_FANOUT = 3;
const SYNC_TIMEOUT_MS = 2000;
/**
 * Upper bound of records per message; keeps a message far below the size limit
 * of the protocol.
 */
const MAX_RECORDS_PER_MESSAGE = 200;

/**
 * Starts the gossip of records.
 *
 * @param options.apply Applies records and returns those that are new.
 * @example
 * const gossip = createRecordGossip({table, network, clock, ...options});
 */
export function createRecordGossip(options: {
  readonly table: RecordTable;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly random: Random;
  readonly isReady: () => boolean;
  readonly apply: (
    records: readonly RelayedRecord[],
  ) => readonly RelayedRecord[];
}): RecordGossip {
  const {table, network, clock, random} = options;
  const disposables = createDisposableStore();
  const syncingPeers = new Set<string>();
  let lastReceivedAt = clock.now();

  function applyFromPeer(
    peer: string,
    records: readonly RelayedRecord[],
  ): void {
    const usableRecords = records
      .map(parseRelayedRecord)
      .filter(record => record !== undefined);
    const newRecords = options.apply(usableRecords);
    push(newRecords, peer);
  }

  function push(
    records: readonly RelayedRecord[],
    excludedPeer?: string,
  ): void {
    if (records.length === 0) {
      return;
    }
    const candidatePeers = network
      .connectedPeers()
      .filter(peer => peer !== excludedPeer);
    for (const peer of randomSample(random, candidatePeers, PUSH_FANOUT)) {
      sendRecords(peer, records);
    }
  }

  function sendRecords(peer: string, records: readonly RelayedRecord[]): void {
    for (
      let offset = 0;
      offset < records.length;
      offset += MAX_RECORDS_PER_MESSAGE
    ) {
      const batch = records.slice(offset, offset + MAX_RECORDS_PER_MESSAGE);
      network.send(peer, 'records', {records: batch});
    }
  }

  function sendDigests(): void {
    const digest = table.digest();
    for (const peer of randomSample(
      random,
      network.connectedPeers(),
      DIGEST_FANOUT,
    )) {
      network.send(peer, 'recordDigest', digest);
    }
  }

  function handleDigest(peer: string, remoteDigest: RecordDigest): void {
    lastReceivedAt = clock.now();
    if (
      syncingPeers.has(peer) ||
      findDifferingBuckets(table.digest(), remoteDigest).size === 0
    ) {
      return;
    }
    syncingPeers.add(peer);
    disposables.add(
      clock.after(SYNC_DELAY_MS, () => {
        const buckets = findDifferingBuckets(table.digest(), remoteDigest);
        void syncBuckets(peer, buckets).finally(() =>
          syncingPeers.delete(peer),
        );
      }),
    );
  }

  async function syncBuckets(
    peer: string,
    buckets: ReadonlySet<number>,
  ): Promise<void> {
    if (buckets.size > 0) {
      await syncWithPeer(peer, buckets);
    }
  }

  /**
   * Fetches the records that this process lacks and sends those that the peer
   * lacks.
   */
  async function syncWithPeer(
    peer: string,
    buckets?: ReadonlySet<number>,
  ): Promise<RecordDifference | undefined> {
    try {
      const response = await network.request(
        peer,
        'recordsWanted',
        {
          known: table.versions(buckets),
          buckets: buckets === undefined ? undefined : [...buckets],
        },
        SYNC_TIMEOUT_MS,
      );
      const difference = recordDifferenceSchema.parse(response);
      if (disposables.isDisposed) {
        return undefined;
      }
      lastReceivedAt = clock.now();
      applyFromPeer(peer, difference.records);
      sendRecords(peer, table.findRecords(difference.wanted));
      return difference;
    } catch {
      // A failed sync is not retried; later digests go to other random peers.
      return undefined;
    }
  }

  disposables.add(
    network.addHandler('records', (from, body) => {
      lastReceivedAt = clock.now();
      applyFromPeer(from, body.records);
    }),
  );
  disposables.add(network.addHandler('recordDigest', handleDigest));
  disposables.add(
    network.addHandler('recordsWanted', (_from, body): RecordDifference => {
      const buckets =
        body.buckets === undefined ? undefined : new Set(body.buckets);
      return {
        isReady: options.isReady(),
        records: table.listNewerThan(body.known, buckets),
        wanted: table.listNotInForce(body.known),
      };
    }),
  );
  // A random initial delay desynchronizes entries that started together.
  disposables.add(
    clock.after(DIGEST_INTERVAL_MS * random.next(), () => {
      sendDigests();
      disposables.add(
        scheduleRepeatedly(clock, DIGEST_INTERVAL_MS, sendDigests),
      );
    }),
  );

  return {
    push,
    async pull() {
      const peers = randomSample(random, network.connectedPeers(), PULL_FANOUT);
      const differences = await Promise.all(
        peers.map(peer => syncWithPeer(peer)),
      );
      return differences.filter(difference => difference?.isReady === true)
        .length;
    },
    lastReceivedAt: () => lastReceivedAt,
    dispose: () => disposables.dispose(),
  };
}

/**
 * Returns the buckets whose sums differ; nearly all buckets if the digests have
 * different numbers of buckets.
 */
function findDifferingBuckets(
  local: RecordDigest,
  remote: RecordDigest,
): Set<number> {
  const buckets = new Set<number>();
  const length = Math.max(local.buckets.length, remote.buckets.length);
  for (let bucket = 0; bucket < length; bucket++) {
    if (local.buckets[bucket] !== remote.buckets[bucket]) {
      buckets.add(bucket);
    }
  }
  return buckets;
}
