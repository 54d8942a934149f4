/** In-memory entries of one owned shard: lookup, size, sealing and expiry. */
import type {Clock} from '@skylarkfield/base';
import type {LedgerEntry} from './shardRecord.js';

export interface ShardTable {
  get(id: string): LedgerEntry | undefined;
  /** Adds or replaces an entry and sets its age to the age of the shard. */
  put(entry: Omit<LedgerEntry, 'age'>): void;
  remove(id: string): void;
  /** Replaces all contents with the stored shard, read at a take-over. */
  load(
    entries: readonly LedgerEntry[],
    segments: ReadonlyMap<string, readonly LedgerEntry[]>,
    age: number,
  ): void;
  /**
   * Removes entries older than the dedupe window; returns the names of the
   * segments that contain only such entries.
   */
  expire(): readonly string[];
  /** Entries to be written to the shard object, not to a segment. */
  unsealedEntries(): readonly LedgerEntry[];
  segmentNames(): readonly string[];
  /**
   * Ended entries to move into a segment, oldest first; none unless the unsealed
   * entries take at least `minBytes` and the ended entries at least half of
   * `minBytes`.
   */
  sealableEntries(minBytes: number): readonly LedgerEntry[];
  /** Records that a segment contains these entries. */
  seal(name: string, entries: readonly LedgerEntry[]): void;
  /** Total time for which the shard has been owned, in milliseconds. */
  age(): number;
  /** Serialized size of all entries, including sealed entries. */
  readonly bytes: number;
  /** Number of all entries, including sealed entries. */
  readonly count: number;
  /** Milliseconds until the oldest entry is older than the dedupe window. */
  msUntilExpiry(): number;
}

/** An entry with its serialized size. */
interface Row {
  readonly entry: LedgerEntry;
  readonly bytes: number;
}

/** Size of a full segment; far below the platform's limit for one value. */
const MAX_SEGMENT_BYTES = 262_144;

/** States of entries whose order has ended. */
const ENDED_STATES: ReadonlySet<string> = new Set(['settled', 'unknown']);

/**
 * Creates an empty table.
 *
 * The dedupe window is measured by the age of the shard: the total monotonic
 * time for which the shard has been owned. By wall clock, a clock that jumps
 * ahead on one host could drop a key too early, and a retry would run its order
 * again. The age of the shard can only lag behind real time, which at worst
 * retains keys too long.
 *
 * @example
 * const table = createShardTable(clock, 3_600_000);
 */
export function createShardTable(
  clock: Clock,
  dedupeWindowMs: number,
): ShardTable {
  /** Rows of all entries by id, in the order of their last change. */
  const rows = new Map<string, Row>();
  /** Ids of the entries whose current state is not in a segment. */
  const unsealedIds = new Set<string>();
  /** Age of the newest entry of each segment, by segment name. */
  const newestAgeBySegment = new Map<string, number>();
  let bytes = 0;
  let unsealedBytes = 0;
  let ageAtTakeOver = 0;
  let ownedSince = clock.now();

  function age(): number {
    return Math.floor(ageAtTakeOver + clock.now() - ownedSince);
  }

  function markSealed(id: string): void {
    if (unsealedIds.delete(id)) {
      unsealedBytes -= rows.get(id)?.bytes ?? 0;
    }
  }

  function remove(id: string): void {
    const row = rows.get(id);
    if (row !== undefined) {
      markSealed(id);
      bytes -= row.bytes;
      rows.delete(id);
    }
  }

  function add(entry: LedgerEntry, isUnsealed: boolean): void {
    remove(entry.id);
    const row = {entry, bytes: JSON.stringify(entry).length};
    rows.set(entry.id, row);
    bytes += row.bytes;
    if (isUnsealed) {
      unsealedIds.add(entry.id);
      unsealedBytes += row.bytes;
    }
  }

  function isExpired(entryAge: number): boolean {
    return age() - entryAge > dedupeWindowMs;
  }

  function newestAge(entries: readonly LedgerEntry[]): number {
    return entries.reduce((newest, entry) => Math.max(newest, entry.age), 0);
  }

  function expireRows(): void {
    for (const {entry} of rows.values()) {
      // Rows are in the order of their last change, so all later rows are
      // unexpired.
      if (!isExpired(entry.age)) {
        return;
      }
      if (entry.state !== 'waiting') {
        remove(entry.id);
      }
    }
  }

  return {
    get: id => rows.get(id)?.entry,
    put: entry => add({...entry, age: age()}, true),
    remove,
    load(entries, loadedSegments, loadedAge) {
      for (const collection of [rows, unsealedIds, newestAgeBySegment]) {
        collection.clear();
      }
      [bytes, unsealedBytes] = [0, 0];
      ageAtTakeOver = loadedAge;
      ownedSince = clock.now();
      for (const [name, segmentEntries] of loadedSegments) {
        newestAgeBySegment.set(name, newestAge(segmentEntries));
        segmentEntries.forEach(entry => add(entry, false));
      }
      // If an order has an entry in the shard object and one in a segment, the
      // entry in the shard object is newer.
      entries.forEach(entry => add(entry, true));
    },
    expire() {
      expireRows();
      const expiredSegments = [...newestAgeBySegment].filter(
        ([, newestEntryAge]) => isExpired(newestEntryAge),
      );
      expiredSegments.forEach(([name]) => newestAgeBySegment.delete(name));
      return expiredSegments.map(([name]) => name);
    },
    unsealedEntries: () =>
      [...unsealedIds].flatMap(id => {
        const row = rows.get(id);
        return row === undefined ? [] : [row.entry];
      }),
    segmentNames: () => [...newestAgeBySegment.keys()],
    sealableEntries(minBytes) {
      if (unsealedBytes < minBytes) {
        return [];
      }
      const chosenEntries: LedgerEntry[] = [];
      let chosenBytes = 0;
      for (const id of unsealedIds) {
        const row = rows.get(id);
        if (row === undefined || !ENDED_STATES.has(row.entry.state)) {
          continue;
        }
        chosenEntries.push(row.entry);
        chosenBytes += row.bytes;
        if (chosenBytes >= MAX_SEGMENT_BYTES) {
          break;
        }
      }
      return chosenBytes * 2 >= minBytes ? chosenEntries : [];
    },
    seal(name, entries) {
      newestAgeBySegment.set(name, newestAge(entries));
      for (const entry of entries) {
        // An entry that changed while the segment was written stays unsealed.
        if (rows.get(entry.id)?.entry === entry) {
          markSealed(entry.id);
        }
      }
    },
    age,
    get bytes() {
      return bytes;
    },
    get count() {
      return rows.size;
    },
    msUntilExpiry() {
      const [oldestRow] = rows.values();
      if (oldestRow === undefined) {
        return 0;
      }
      return Math.max(0, oldestRow.entry.age + dedupeWindowMs - age());
    },
  };
}
