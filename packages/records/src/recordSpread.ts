/**
 * Spreads accepted records among entries.
 *
 * What is new is pushed at once to a few peers, each of which pushes it on the
 * first time it hears it. Digests exchanged with a few peers a second find what
 * the pushes missed, so an entry that was cut off catches up from any peer.
 */
import {
  disposableStore,
  every,
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
import {checkRelayed} from './acceptedShapes.js';
import {choose} from './choose.js';
import {differenceShape} from './messageShapes.js';
import type {RecordTable} from './recordTable.js';

export interface RecordSpread extends Disposable {
  /** Pushes records that were just put in force to a few peers. */
  push(records: readonly RelayedRecord[], except?: string): void;
  /**
   * Asks a few peers for all that is not in force here.
   * Resolves with the number of peers that answered with a complete configuration.
   */
  pull(): Promise<number>;
  /** Monotonic milliseconds of the last word from any peer about records. */
  heardAt(): number;
}

/** Peers that hear a push from each entry; four reach about 98 in 100 by pushes alone. */
const PUSH_FANOUT = 4;
const DIGEST_FANOUT = 2;
const DIGEST_INTERVAL_MS = 1000;
/** A push that is under way usually settles a difference before it is asked about. */
const SETTLE_MS = 50;
const PULL_FANOUT = 3;
const ASK_TIMEOUT_MS = 2000;
/** Keeps one message far below the protocol's limit. */
const RECORDS_PER_MESSAGE = 200;

/**
 * Starts to spread records.
 *
 * @param options.apply Puts records in force and returns those that are new.
 * @example
 * const spread = createRecordSpread({table, network, clock, random, isReady, apply});
 */
export function createRecordSpread(options: {
  readonly table: RecordTable;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly random: Random;
  readonly isReady: () => boolean;
  readonly apply: (
    records: readonly RelayedRecord[],
  ) => readonly RelayedRecord[];
}): RecordSpread {
  const {table, network, clock, random} = options;
  const owned = disposableStore();
  const asking = new Set<string>();
  let heardAt = clock.now();

  function take(from: string, records: readonly RelayedRecord[]): void {
    const usable = records
      .map(checkRelayed)
      .filter(record => record !== undefined);
    const news = options.apply(usable);
    push(news, from);
  }

  function push(records: readonly RelayedRecord[], except?: string): void {
    if (records.length === 0) {
      return;
    }
    const others = network.connected().filter(peer => peer !== except);
    for (const peer of choose(random, others, PUSH_FANOUT)) {
      sendAll(peer, records);
    }
  }

  function sendAll(peer: string, records: readonly RelayedRecord[]): void {
    for (let at = 0; at < records.length; at += RECORDS_PER_MESSAGE) {
      const part = records.slice(at, at + RECORDS_PER_MESSAGE);
      network.send(peer, 'records', {records: part});
    }
  }

  function sendDigests(): void {
    const digest = table.digest();
    for (const peer of choose(random, network.connected(), DIGEST_FANOUT)) {
      network.send(peer, 'recordDigest', digest);
    }
  }

  function onDidReceiveDigest(from: string, theirs: RecordDigest): void {
    heardAt = clock.now();
    if (asking.has(from) || differing(table.digest(), theirs).size === 0) {
      return;
    }
    asking.add(from);
    owned.add(
      clock.after(SETTLE_MS, () => {
        const buckets = differing(table.digest(), theirs);
        void settle(from, buckets).finally(() => asking.delete(from));
      }),
    );
  }

  async function settle(
    from: string,
    buckets: ReadonlySet<number>,
  ): Promise<void> {
    if (buckets.size > 0) {
      await exchange(from, buckets);
    }
  }

  /** Asks a peer for what is missing here and sends it what is missing there. */
  async function exchange(
    peer: string,
    buckets?: ReadonlySet<number>,
  ): Promise<RecordDifference | undefined> {
    try {
      const answer = await network.ask(
        peer,
        'recordsWanted',
        {
          known: table.versions(buckets),
          buckets: buckets === undefined ? undefined : [...buckets],
        },
        ASK_TIMEOUT_MS,
      );
      const difference = differenceShape.parse(answer);
      if (owned.isDisposed) {
        return undefined;
      }
      heardAt = clock.now();
      take(peer, difference.records);
      sendAll(peer, table.records(difference.wanted));
      return difference;
    } catch {
      // The next round asks another peer.
      return undefined;
    }
  }

  owned.add(
    network.onDidReceive('records', (from, body) => {
      heardAt = clock.now();
      take(from, body.records);
    }),
  );
  owned.add(network.onDidReceive('recordDigest', onDidReceiveDigest));
  owned.add(
    network.onDidReceive('recordsWanted', (_from, body): RecordDifference => {
      const buckets =
        body.buckets === undefined ? undefined : new Set(body.buckets);
      return {
        isReady: options.isReady(),
        records: table.newerThan(body.known, buckets),
        wanted: table.olderThan(body.known),
      };
    }),
  );
  // A random first wait keeps entries that started together from speaking in step.
  owned.add(
    clock.after(DIGEST_INTERVAL_MS * random.next(), () => {
      sendDigests();
      owned.add(every(clock, DIGEST_INTERVAL_MS, sendDigests));
    }),
  );

  return {
    push,
    async pull() {
      const peers = choose(random, network.connected(), PULL_FANOUT);
      const answers = await Promise.all(peers.map(peer => exchange(peer)));
      return answers.filter(answer => answer?.isReady === true).length;
    },
    heardAt: () => heardAt,
    dispose: () => owned.dispose(),
  };
}

/** Buckets whose sums differ; all when the peer uses another number of buckets. */
function differing(ours: RecordDigest, theirs: RecordDigest): Set<number> {
  const buckets = new Set<number>();
  const length = Math.max(ours.buckets.length, theirs.buckets.length);
  for (let bucket = 0; bucket < length; bucket++) {
    if (ours.buckets[bucket] !== theirs.buckets[bucket]) {
      buckets.add(bucket);
    }
  }
  return buckets;
}
