/**
 * Segments of a shard: objects with ended entries, each written only once. They
 * keep the shard object small however many ended orders are retained.
 */
import type {ObjectStore} from '@skylarkfield/providers';
import type {LedgerEntry} from './shardRecord.js';
import type {ShardTable} from './shardTable.js';

/** Kind of the objects that contain sealed entries. */
export const SEGMENT_KIND = 'ledger-segment';

interface SegmentRecord {
  readonly entries: readonly LedgerEntry[];
}

export interface ShardSegments {
  /** Reads the entries of segments; undefined if a segment has been removed. */
  read(
    names: readonly string[],
  ): Promise<ReadonlyMap<string, readonly LedgerEntry[]> | undefined>;
  /**
   * Moves ended entries into a segment once all unsealed entries take
   * `minBytes`. The entries stay unsealed when the write of the segment may
   * have failed.
   */
  seal(table: ShardTable, epoch: number, minBytes: number): Promise<void>;
  /** Removes segments that no shard object refers to any more. */
  remove(names: readonly string[]): void;
}

/**
 * Creates the access to one shard's segments.
 *
 * A segment's name contains the epoch of its writer and is never reused. With
 * reused names, a deposed owner could overwrite a segment that the new owner
 * already refers to, and the keys in it would be lost.
 *
 * @example
 * await segments.seal(table, epoch, 32_768);
 */
export function createShardSegments(
  store: ObjectStore,
  shard: number,
): ShardSegments {
  let nameCounter = 0;

  async function read(names: readonly string[]) {
    const objects = await Promise.all(
      names.map(name => store.get<SegmentRecord>(SEGMENT_KIND, name)),
    );
    const entriesBySegment = new Map<string, readonly LedgerEntry[]>();
    for (const [index, name] of names.entries()) {
      const object = objects[index];
      if (object === undefined) {
        return undefined;
      }
      entriesBySegment.set(name, object.value.entries);
    }
    return entriesBySegment;
  }

  /** Returns the segment's name; undefined when the write may have failed. */
  async function write(
    epoch: number,
    entries: readonly LedgerEntry[],
  ): Promise<string | undefined> {
    nameCounter += 1;
    const name = `shard-${shard}.${epoch}.${nameCounter}`;
    try {
      await store.put(SEGMENT_KIND, name, {entries}, {type: 'absent'});
      return name;
    } catch {
      // The entries stay unsealed. No shard object refers to the segment if its
      // write takes effect later.
      return undefined;
    }
  }

  return {
    read,
    async seal(table, epoch, minBytes) {
      const entries = table.sealableEntries(minBytes);
      if (entries.length === 0) {
        return;
      }
      const name = await write(epoch, entries);
      if (name !== undefined) {
        table.seal(name, entries);
      }
    },
    remove(names) {
      for (const name of names) {
        // A removal that fails is not repeated: no shard object refers to the
        // segment, so it is never read.
        store.remove(SEGMENT_KIND, name, {type: 'any'}).catch(() => undefined);
      }
    },
  };
}
