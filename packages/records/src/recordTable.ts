/**
 * The accepted records that one process has in force.
 *
 * A record only ever rises in its source version, whoever brings the news: a
 * late relay or a listing from a peer that was cut off would otherwise take an
 * accepted change back on this process alone.
 */
import {hash32} from '@skylarkfield/base';
import type {
  RecordDigest,
  RecordVersion,
  RelayedRecord,
} from '@skylarkfield/protocol';
import type {AcceptedRecords, RecordKind} from './contracts.js';

export interface RecordTable {
  /** Puts a record in force; false when this or a higher version already is. */
  apply(record: RelayedRecord): boolean;
  get<K extends RecordKind>(
    kind: K,
    name: string,
  ): AcceptedRecords[K] | undefined;
  list<K extends RecordKind>(kind: K): readonly AcceptedRecords[K][];
  /** Removed records included; restricted to some buckets when they are given. */
  versions(buckets?: ReadonlySet<number>): readonly RecordVersion[];
  /** Records whose version here is higher than in the given list, or missing there. */
  newerThan(
    known: readonly RecordVersion[],
    buckets?: ReadonlySet<number>,
  ): readonly RelayedRecord[];
  /** Records whose version here is lower than in the given list. */
  olderThan(known: readonly RecordVersion[]): readonly RecordVersion[];
  /** The records of the given versions, in the version that is in force here. */
  records(versions: readonly RecordVersion[]): readonly RelayedRecord[];
  /** Whether this version or a higher one is in force. */
  has(version: RecordVersion): boolean;
  digest(): RecordDigest;
}

const BUCKETS = 16;
const UINT32 = 0x1_0000_0000;

/**
 * Makes an empty table.
 *
 * @example
 * const table = createRecordTable();
 * table.apply({kind: 'service', name: 'booking', sourceVersion: 7, isRemoved: false, value});
 */
export function createRecordTable(): RecordTable {
  const records = new Map<string, RelayedRecord>();
  const sums = new Array<number>(BUCKETS).fill(0);

  /** Sums make the digest independent of order and cheap to change. */
  function addToSum(record: RelayedRecord, sign: 1 | -1): void {
    const key = recordKey(record);
    const bucket = bucketOf(key);
    const term = hash32(`${key}@${record.sourceVersion}`);
    sums[bucket] = ((sums[bucket] ?? 0) + sign * term + UINT32) % UINT32;
  }

  function select(buckets?: ReadonlySet<number>): RelayedRecord[] {
    const all = [...records.values()];
    if (buckets === undefined) {
      return all;
    }
    return all.filter(record => buckets.has(bucketOf(recordKey(record))));
  }

  function isInForce(version: RecordVersion): boolean {
    const present = records.get(recordKey(version));
    return (
      present !== undefined && present.sourceVersion >= version.sourceVersion
    );
  }

  return {
    apply(record) {
      const key = recordKey(record);
      const present = records.get(key);
      if (present !== undefined) {
        if (present.sourceVersion >= record.sourceVersion) {
          return false;
        }
        addToSum(present, -1);
      }
      records.set(key, record);
      addToSum(record, 1);
      return true;
    },
    get<K extends RecordKind>(kind: K, name: string) {
      const record = records.get(recordKey({kind, name}));
      return record?.value as AcceptedRecords[K] | undefined;
    },
    list<K extends RecordKind>(kind: K) {
      return [...records.values()]
        .filter(record => record.kind === kind && !record.isRemoved)
        .map(record => record.value as AcceptedRecords[K]);
    },
    versions: buckets => select(buckets).map(toVersion),
    newerThan(known, buckets) {
      const versions = new Map(
        known.map(version => [recordKey(version), version.sourceVersion]),
      );
      return select(buckets).filter(
        record =>
          record.sourceVersion > (versions.get(recordKey(record)) ?? -1),
      );
    },
    olderThan: known => known.filter(version => !isInForce(version)),
    records: versions =>
      versions
        .map(version => records.get(recordKey(version)))
        .filter(record => record !== undefined),
    has: isInForce,
    digest: () => ({count: records.size, buckets: [...sums]}),
  };
}

/**
 * The key of a record within its process, also the name of its accepted object.
 *
 * @example
 * await store.get('accepted', recordKey({kind: 'service', name: 'booking'}));
 */
export function recordKey(record: {
  readonly kind: string;
  readonly name: string;
}): string {
  return `${record.kind}.${record.name}`;
}

function bucketOf(key: string): number {
  return hash32(key) % BUCKETS;
}

function toVersion({kind, name, sourceVersion}: RelayedRecord): RecordVersion {
  return {kind, name, sourceVersion};
}
