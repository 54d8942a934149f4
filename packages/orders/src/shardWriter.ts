/** Conditional writes of one shard whose outcome is always learnt before anything follows from them. */
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
  | {readonly type: 'landed'; readonly version: number}
  /** Certainly without effect. */
  | {readonly type: 'refused'; readonly error: ServingError}
  /** Another process has written since; nothing of ours can land any more. */
  | {readonly type: 'lost'; readonly head: ShardRecord | undefined};

export interface ShardWriter {
  read(): Promise<StoredObject<ShardRecord> | undefined>;
  /** Writes on top of a version (undefined: no object yet) and settles what happened. */
  write(
    record: ShardRecord,
    baseVersion: number | undefined,
  ): Promise<WriteResult>;
}

const INITIAL_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1_000;

/**
 * Makes the writer of one shard.
 *
 * A write whose reply was lost may still be on its way, so a read that shows
 * the old version proves nothing. The same write is sent again instead, on the
 * same version: when it lands, the first can't any more; when it conflicts, the
 * head tells whose write came first.
 *
 * @example
 * const writer = createShardWriter({store, clock, name: 'shard-3', onDoubt, signal});
 */
export function createShardWriter(options: {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly name: string;
  /** A reply was lost: the shard is bound until the outcome is known. */
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
      return {type: 'landed', version: stored.version};
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

/** Errors after which a write certainly has no effect, now or later. */
const REJECTING_ERROR_KINDS: ReadonlySet<string> = new Set([
  'platform-unavailable',
  'too-large',
]);

/** Whose write a conflict shows; `behind`: an older one of ours, so ours may be tried on top of it. */
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
    return {type: 'landed', version: head.version};
  }
  const isOurs = owner === record.owner || record.owner === '';
  return isOurs && write < record.write
    ? 'older-own-write'
    : {type: 'lost', head: head.value};
}
