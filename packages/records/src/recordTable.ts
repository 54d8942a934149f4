/**
 * The accepted records in force in one process.
 *
 * The source version of a record never decreases, wherever it comes from: a
 * late relay or a listing from a peer that was partitioned would otherwise
 * revert an accepted change in this process alone.
 */
import {hash32} from '@skylarkfield/base';
import type {
  RecordDigest,
  RecordVersion,
  RelayedRecord,
} from '@skylarkfield/protocol';
import type {AcceptedRecordTypes, RecordKind} from './contracts.js';

export interface RecordTable {
  /** Applies a record; false if this or a higher version is in force. */
  apply(record: RelayedRecord): boolean;
  get<K extends RecordKind>(
    kind: K,
    name: string,
  ): AcceptedRecordTypes[K] | undefined;
  list<K extends RecordKind>(kind: K): readonly AcceptedRecordTypes[K][];
  /** Returns the versions in these or all buckets, also of removed records. */
  versions(buckets?: ReadonlySet<number>): readonly RecordVersion[];
  /** Returns the records newer than in `known` or missing from it. */
  newerThan(
    known: readonly RecordVersion[],
    buckets?: ReadonlySet<number>,
  ): readonly RelayedRecord[];
  /** Returns the versions of `known` that are higher or missing here. */
  notInForce(known: readonly RecordVersion[]): readonly RecordVersion[];
  /** Returns the given records in the version that is in force here. */
  records(versions: readonly RecordVersion[]): readonly RelayedRecord[];
  /** Returns whether this version or a higher one is in force. */
  isInForce(version: RecordVersion): boolean;
  digest(): RecordDigest;
}

const DIGEST_BUCKET_COUNT = 16;
const UINT32_RANGE = 0x1_0000_0000;

/**
 * Creates an empty table.
 *
 * @example
 * const table = createRecordTable();
 * table.apply({kind, name, sourceVersion: 7, isRemoved: false, value});
 */
export function createRecordTable(): RecordTable {
  const records = new Map<string, RelayedRecord>();
  const bucketSums = new Array<number>(DIGEST_BUCKET_COUNT).fill(0);

  /** Sums are cheap to update and independent of the order of arrival. */
  function addToBucketSum(record: RelayedRecord, sign: 1 | -1): void {
    const key = recordKey(record);
    const bucket = bucketOf(key);
    const hash = hash32(`${key}@${record.sourceVersion}`);
    bucketSums[bucket] =
      ((bucketSums[bucket] ?? 0) + sign * hash + UINT32_RANGE) % UINT32_RANGE;
  }

  function selectRecords(buckets?: ReadonlySet<number>): RelayedRecord[] {
    const all = [...records.values()];
    if (buckets === undefined) {
      return all;
    }
    return all.filter(record => buckets.has(bucketOf(recordKey(record))));
  }

  function isInForce(version: RecordVersion): boolean {
    const current = records.get(recordKey(version));
    return (
      current !== undefined && current.sourceVersion >= version.sourceVersion
    );
  }

  return {
    apply(record) {
      const key = recordKey(record);
      const current = records.get(key);
      if (current !== undefined) {
        if (current.sourceVersion >= record.sourceVersion) {
          return false;
        }
        addToBucketSum(current, -1);
      }
      records.set(key, record);
      addToBucketSum(record, 1);
      return true;
    },
    get<K extends RecordKind>(kind: K, name: string) {
      const record = records.get(recordKey({kind, name}));
      return record?.value as AcceptedRecordTypes[K] | undefined;
    },
    list<K extends RecordKind>(kind: K) {
      return [...records.values()]
        .filter(record => record.kind === kind && !record.isRemoved)
        .map(record => record.value as AcceptedRecordTypes[K]);
    },
    versions: buckets => selectRecords(buckets).map(toVersion),
    newerThan(known, buckets) {
      const versions = new Map(
        known.map(version => [recordKey(version), version.sourceVersion]),
      );
      return selectRecords(buckets).filter(
        record =>
          record.sourceVersion > (versions.get(recordKey(record)) ?? -1),
      );
    },
    notInForce: known => known.filter(version => !isInForce(version)),
    records: versions =>
      versions
        .map(version => records.get(recordKey(version)))
        .filter(record => record !== undefined),
    isInForce,
    digest: () => ({count: records.size, buckets: [...bucketSums]}),
  };
}

/**
 * Returns the key of a record, which is also the name of its accepted object.
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
  return hash32(key) % DIGEST_BUCKET_COUNT;
}

function toVersion({kind, name, sourceVersion}: RelayedRecord): RecordVersion {
  return {kind, name, sourceVersion};
}
