/**
 * The accepted records in force in one process.
 *
 * The source version of a record never decreases, whether the record comes from
 * the platform or from a peer. Without this rule, a late relay or a listing
 * from a peer that was partitioned would revert an accepted change in this
 * process alone.
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
  /**
   * Returns the versions of all records in the given buckets, including removed
   * records; without `buckets`, of all records.
   */
  versions(buckets?: ReadonlySet<number>): readonly RecordVersion[];
  /**
   * Returns the records that are newer than in `knownVersions` or not in it.
   */
  listNewerThan(
    knownVersions: readonly RecordVersion[],
    buckets?: ReadonlySet<number>,
  ): readonly RelayedRecord[];
  /**
   * Returns the known versions that are not in force in this table: the record
   * is missing or has a lower version.
   */
  listNotInForce(
    knownVersions: readonly RecordVersion[],
  ): readonly RecordVersion[];
  /** Returns the records of the given keys, in the version in force. */
  findRecords(versions: readonly RecordVersion[]): readonly RelayedRecord[];
  /** Returns whether the given or a higher version of a record is in force. */
  isInForce(version: RecordVersion): boolean;
  /** Returns the number of records and a hash sum per bucket. */
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

  /**
   * Adds the hash of a record to the sum of its bucket, or subtracts it if
   * `sign` is -1. Sums are cheap to update and do not depend on the order of
   * arrival.
   */
  function addToBucketSum(record: RelayedRecord, sign: 1 | -1): void {
    const key = recordKey(record);
    const bucket = bucketOf(key);
    const hash = hash32(`${key}@${record.sourceVersion}`);
    bucketSums[bucket] =
      ((bucketSums[bucket] ?? 0) + sign * hash + UINT32_RANGE) % UINT32_RANGE;
  }

  function selectRecords(buckets?: ReadonlySet<number>): RelayedRecord[] {
    const allRecords = [...records.values()];
    if (buckets === undefined) {
      return allRecords;
    }
    return allRecords.filter(record =>
      buckets.has(bucketOf(recordKey(record))),
    );
  }

  function isInForce(version: RecordVersion): boolean {
    const currentRecord = records.get(recordKey(version));
    return (
      currentRecord !== undefined &&
      currentRecord.sourceVersion >= version.sourceVersion
    );
  }

  return {
    apply(record) {
      const key = recordKey(record);
      const currentRecord = records.get(key);
      if (currentRecord !== undefined) {
        if (currentRecord.sourceVersion >= record.sourceVersion) {
          return false;
        }
        addToBucketSum(currentRecord, -1);
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
    listNewerThan(knownVersions, buckets) {
      const knownByKey = new Map(
        knownVersions.map(version => [
          recordKey(version),
          version.sourceVersion,
        ]),
      );
      return selectRecords(buckets).filter(
        record =>
          record.sourceVersion > (knownByKey.get(recordKey(record)) ?? -1),
      );
    },
    listNotInForce: knownVersions =>
      knownVersions.filter(version => !isInForce(version)),
    findRecords: versions =>
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
