/** Conditional writes of a shard, repeated until the outcome is certain. */
import {
  isServingError,
  sleep,
  toServingError,
  type Clock,
  type ServingError,
} from '@skylarkfield/base';
import type {ObjectStore, StoredObject} from '@skylarkfield/providers';
import {LEDGER_KIND, type ShardRecord} from './shardRecord.js';

export type WriteResult =
  | {readonly type: 'committed'; readonly version: number}
  /** The write certainly had no effect. */
  | {readonly type: 'refused'; readonly error: ServingError}
  /**
   * Another process has written the shard, so later writes of this process
   * would fail; also returned when the writer's signal has aborted.
   */
  | {readonly type: 'lost'; readonly currentRecord: ShardRecord | undefined};

export interface ShardWriter {
  /** Reads the shard object; undefined when it does not exist. */
  read(): Promise<StoredObject<ShardRecord> | undefined>;
  /**
   * Writes the record on condition that the object has `baseVersion`
   * (undefined: that it does not exist), and retries until the outcome of the
   * write is certain.
   */
  write(
    record: ShardRecord,
    baseVersion: number | undefined,
  ): Promise<WriteResult>;
}

const INITIAL_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1_000;

/**
 * Creates the writer of one shard.
 *
 * A write whose response was lost may still be in transit, so a read that shows
 * the old version proves nothing. Instead the same write is repeated on the
 * same version: if it succeeds, the first write no longer can; if it
 * conflicts, the current object shows whose write came first.
 *
 * @example
 * const writer = createShardWriter({
 *   store, clock, objectName: 'shard-3', onUncertainWrite, signal,
 * });
 */
export function createShardWriter(options: {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly objectName: string;
  /**
   * Called when the response to a write was lost: the shard is `bound` until
   * the outcome of the write is certain.
   */
  readonly onUncertainWrite: () => void;
  /** Aborts the retries of a write whose outcome is not certain yet. */
  readonly signal: AbortSignal;
}): ShardWriter {
  const {store, clock, objectName, signal} = options;

  function read(): Promise<StoredObject<ShardRecord> | undefined> {
    return store.get<ShardRecord>(LEDGER_KIND, objectName);
  }

  async function tryWrite(
    record: ShardRecord,
    baseVersion: number | undefined,
  ): Promise<WriteResult | 'conflict' | 'uncertain'> {
    try {
      const storedObject = await store.put(
        LEDGER_KIND,
        objectName,
        record,
        baseVersion === undefined
          ? {type: 'absent'}
          : {type: 'version', version: baseVersion},
      );
      return {type: 'committed', version: storedObject.version};
    } catch (error) {
      if (isServingError(error, 'version-conflict')) {
        return 'conflict';
      }
      if (REJECTING_ERROR_KINDS.has(toServingError(error).kind)) {
        return {type: 'refused', error: toServingError(error)};
      }
      return 'uncertain';
    }
  }

  async function tryReadCurrentObject(): Promise<
    StoredObject<ShardRecord> | undefined | 'read-failed'
  > {
    try {
      return await read();
    } catch {
      return 'read-failed';
    }
  }

  async function write(
    record: ShardRecord,
    baseVersion: number | undefined,
  ): Promise<WriteResult> {
    let expectedVersion = baseVersion;
    let hasUncertainWrite = false;
    let backoffMs = INITIAL_BACKOFF_MS;
    while (!signal.aborted) {
      const result = await tryWrite(record, expectedVersion);
      if (result === 'conflict') {
        const currentObject = await tryReadCurrentObject();
        if (currentObject !== 'read-failed') {
          const conflictResult = resolveConflict(record, currentObject);
          if (conflictResult !== 'older-own-write') {
            return conflictResult;
          }
          expectedVersion = currentObject?.version;
          continue;
        }
      } else if (result !== 'uncertain') {
        if (result.type !== 'refused' || !hasUncertainWrite) {
          return result;
        }
      }
      if (!hasUncertainWrite) {
        hasUncertainWrite = true;
        options.onUncertainWrite();
      }
      await sleep(clock, backoffMs, signal).catch(() => undefined);
      backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    }
    return {type: 'lost', currentRecord: undefined};
  }

  return {read, write};
}

/** Kinds of errors after which a write certainly never takes effect. */
const REJECTING_ERROR_KINDS: ReadonlySet<string> = new Set([
  'platform-unavailable',
  'too-large',
]);

/**
 * Returns the result of a write that met a version conflict. `older-own-write`:
 * the object is an earlier write of this process, so that the write may be
 * repeated on top of it.
 */
function resolveConflict(
  record: ShardRecord,
  currentObject: StoredObject<ShardRecord> | undefined,
): WriteResult | 'older-own-write' {
  if (currentObject === undefined) {
    return {type: 'lost', currentRecord: undefined};
  }
  const {owner, epoch, write} = currentObject.value;
  if (epoch !== record.epoch) {
    return {type: 'lost', currentRecord: currentObject.value};
  }
  if (write === record.write && owner === record.owner) {
    return {type: 'committed', version: currentObject.version};
  }
  const isOwnWrite = owner === record.owner || record.owner === '';
  return isOwnWrite && write < record.write
    ? 'older-own-write'
    : {type: 'lost', currentRecord: currentObject.value};
}
