/** Conditional shard writes, each resolved to a certain outcome. */
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
  /** Certainly without effect. */
  | {readonly type: 'refused'; readonly error: ServingError}
  /** Another process has written since, so this process can't write again. */
  | {readonly type: 'lost'; readonly head: ShardRecord | undefined};

export interface ShardWriter {
  read(): Promise<StoredObject<ShardRecord> | undefined>;
  /** Writes on top of a version (undefined: no object) until it is resolved. */
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
 *   store, clock, name: 'shard-3', onUncertainWrite, signal,
 * });
 */
export function createShardWriter(options: {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly name: string;
  /** A response was lost: the shard is `bound` until the write is resolved. */
  readonly onUncertainWrite: () => void;
  /** Ends all retries. */
  readonly signal: AbortSignal;
}): ShardWriter {
  const {store, clock, name, signal} = options;

  function read(): Promise<StoredObject<ShardRecord> | undefined> {
    return store.get<ShardRecord>(LEDGER_KIND, name);
  }

  async function attempt(
    record: ShardRecord,
    baseVersion: number | undefined,
  ): Promise<WriteResult | 'conflict' | 'uncertain'> {
    try {
      const stored = await store.put(
        LEDGER_KIND,
        name,
        record,
        baseVersion === undefined
          ? {type: 'absent'}
          : {type: 'version', version: baseVersion},
      );
      return {type: 'committed', version: stored.version};
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

  async function readHead(): Promise<
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
    let base = baseVersion;
    let isUncertain = false;
    let backoffMs = INITIAL_BACKOFF_MS;
    while (!signal.aborted) {
      const result = await attempt(record, base);
      if (result === 'conflict') {
        const head = await readHead();
        if (head !== 'read-failed') {
          const resolved = resolveConflict(record, head);
          if (resolved !== 'older-own-write') {
            return resolved;
          }
          base = head?.version;
          continue;
        }
      } else if (result !== 'uncertain') {
        if (result.type !== 'refused' || !isUncertain) {
          return result;
        }
      }
      if (!isUncertain) {
        isUncertain = true;
        options.onUncertainWrite();
      }
      await sleep(clock, backoffMs, signal).catch(() => undefined);
      backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    }
    return {type: 'lost', head: undefined};
  }

  return {read, write};
}

/** Kinds of errors after which a write certainly never takes effect. */
const REJECTING_ERROR_KINDS: ReadonlySet<string> = new Set([
  'platform-unavailable',
  'too-large',
]);

/**
 * Resolves a conflict; after `older-own-write` the write may be repeated on top
 * of that older write.
 */
function resolveConflict(
  record: ShardRecord,
  head: StoredObject<ShardRecord> | undefined,
): WriteResult | 'older-own-write' {
  if (head === undefined) {
    return {type: 'lost', head: undefined};
  }
  const {owner, epoch, write} = head.value;
  if (epoch !== record.epoch) {
    return {type: 'lost', head: head.value};
  }
  if (write === record.write && owner === record.owner) {
    return {type: 'committed', version: head.version};
  }
  const isOwnWrite = owner === record.owner || record.owner === '';
  return isOwnWrite && write < record.write
    ? 'older-own-write'
    : {type: 'lost', head: head.value};
}
