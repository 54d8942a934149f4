/** In-memory entries of one owned shard: lookup, size, sealing and expiry. */
import type {Clock} from '@skylarkfield/base';
import type {LedgerEntry} from './shardRecord.js';

export interface ShardTable {
  get(id: string): LedgerEntry | undefined;
  /** Adds or replaces an entry; its age is set to the current one. */
  put(entry: Omit<LedgerEntry, 'age'>): void;
  remove(id: string): void;
  /** Replaces all contents with what was read at a change of owner. */
  load(
    entries: readonly LedgerEntry[],
    segments: ReadonlyMap<string, readonly LedgerEntry[]>,
    age: number,
  ): void;
  /** Removes entries past the dedupe window; returns segments now empty. */
  expire(): readonly string[];
  /** Entries that belong in the shard's object. */
  unsealed(): readonly LedgerEntry[];
  segments(): readonly string[];
  /** Ended entries for a segment, oldest first; none if there are too few. */
  sealable(minBytes: number): readonly LedgerEntry[];
  /** Records that a segment holds these entries. */
  seal(name: string, entries: readonly LedgerEntry[]): void;
  /** Total time for which the shard has been owned, in milliseconds. */
  age(): number;
  /** Size of all entries, including sealed ones. */
  readonly bytes: number;
  readonly count: number;
  /** Milliseconds until the oldest entry leaves the dedupe window. */
  msUntilExpiry(): number;
}

interface Row {
  readonly entry: LedgerEntry;
  readonly bytes: number;
}

/** Far below the platform's size limit for one value. */
const MAX_SEGMENT_BYTES = 262_144;

/** States that do not change any more. */
const FINAL_STATES: ReadonlySet<string> = new Set(['settled', 'unknown']);

/**
 * Creates an empty table.
 *
 * The dedupe window is measured in the ledger's own age: the sum of monotonic
 * spans in which the shard was owned. If a wall clock jumped ahead on one
 * entry, a key could be dropped too early and a retry would run its order
 * again; the ledger's age only ever lags, which at worst retains keys too long.
 *
 * @example
 * const table = createShardTable(clock, 3_600_000);
 */
export function createShardTable(
  clock: Clock,
  dedupeWindowMs: number,
): ShardTable {
  /** All entries, in the order of their last change. */
  const rows = new Map<string, Row>();
  /** Ids of the entries whose current state is not in a segment. */
  const unsealedIds = new Set<string>();
  /** Age of the newest entry of each segment. */
  const segments = new Map<string, number>();
  let bytes = 0;
  let unsealedBytes = 0;
  let baseAge = 0;
  let ownedSince = clock.now();

  function age(): number {
    return Math.floor(baseAge + clock.now() - ownedSince);
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
      // Rows are in the order of their last change, so later ones are
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
      for (const collection of [rows, unsealedIds, segments]) {
        collection.clear();
      }
      [bytes, unsealedBytes] = [0, 0];
      baseAge = loadedAge;
      ownedSince = clock.now();
      for (const [name, sealed] of loadedSegments) {
        segments.set(name, newestAge(sealed));
        sealed.forEach(entry => add(entry, false));
      }
      // An entry of the shard's object is newer than one in a segment.
      entries.forEach(entry => add(entry, true));
    },
    expire() {
      expireRows();
      const expired = [...segments].filter(([, newest]) => isExpired(newest));
      expired.forEach(([name]) => segments.delete(name));
      return expired.map(([name]) => name);
    },
    unsealed: () =>
      [...unsealedIds].flatMap(id => {
        const row = rows.get(id);
        return row === undefined ? [] : [row.entry];
      }),
    segments: () => [...segments.keys()],
    sealable(minBytes) {
      if (unsealedBytes < minBytes) {
        return [];
      }
      const chosen: LedgerEntry[] = [];
      let chosenBytes = 0;
      for (const id of unsealedIds) {
        const row = rows.get(id);
        if (row === undefined || !FINAL_STATES.has(row.entry.state)) {
          continue;
        }
        chosen.push(row.entry);
        chosenBytes += row.bytes;
        if (chosenBytes >= MAX_SEGMENT_BYTES) {
          break;
        }
      }
      return chosenBytes * 2 >= minBytes ? chosen : [];
    },
    seal(name, entries) {
      segments.set(name, newestAge(entries));
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
      const [oldest] = rows.values();
      if (oldest === undefined) {
        return 0;
      }
      return Math.max(0, oldest.entry.age + dedupeWindowMs - age());
    },
  };
}
