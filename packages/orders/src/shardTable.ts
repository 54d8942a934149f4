/** The entries of one owned shard in memory: look-up, size and expiry. */
import type {Clock} from '@skylarkfield/base';
import type {LedgerEntry} from './shardRecord.js';

export interface ShardTable {
  get(id: string): LedgerEntry | undefined;
  /** Adds or replaces an entry; its age is set to now. */
  put(entry: Omit<LedgerEntry, 'age'>): void;
  remove(id: string): void;
  /** Replaces everything, as read at a change of owner. */
  load(entries: readonly LedgerEntry[], age: number): void;
  /** All entries but those that left the dedupe window; they are dropped. */
  compact(): readonly LedgerEntry[];
  /** Milliseconds for which the shard has been owned altogether. */
  age(): number;
  readonly bytes: number;
  readonly count: number;
  /** Milliseconds until the oldest entry leaves the window. */
  untilExpiry(): number;
}

interface Row {
  readonly entry: LedgerEntry;
  readonly bytes: number;
}

/**
 * Makes an empty table.
 *
 * The dedupe window is counted in the ledger's own age: the sum of monotonic
 * spans in which the shard was owned. A wall clock that jumps ahead on one
 * entry could drop a key too early, and the caller's retry would run its order
 * again; the ledger's age only ever lags, so a key is kept too long at worst.
 *
 * @example
 * const table = createShardTable(clock, 3_600_000);
 */
export function createShardTable(clock: Clock, windowMs: number): ShardTable {
  const rows = new Map<string, Row>();
  let bytes = 0;
  let baseAge = 0;
  let ownedSince = clock.now();

  function age(): number {
    return Math.floor(baseAge + clock.now() - ownedSince);
  }

  function remove(id: string): void {
    const row = rows.get(id);
    if (row !== undefined) {
      bytes -= row.bytes;
      rows.delete(id);
    }
  }

  function add(entry: LedgerEntry): void {
    remove(entry.id);
    const row = {entry, bytes: JSON.stringify(entry).length};
    rows.set(entry.id, row);
    bytes += row.bytes;
  }

  function isExpired(entry: LedgerEntry): boolean {
    return entry.state !== 'waiting' && age() - entry.age > windowMs;
  }

  return {
    get: id => rows.get(id)?.entry,
    put: entry => add({...entry, age: age()}),
    remove,
    load(entries, loadedAge) {
      rows.clear();
      bytes = 0;
      baseAge = loadedAge;
      ownedSince = clock.now();
      entries.forEach(add);
    },
    compact() {
      for (const {entry} of [...rows.values()]) {
        // Rows are in the order of their last change: the first young one ends the search.
        if (!isExpired(entry)) {
          break;
        }
        remove(entry.id);
      }
      return [...rows.values()].map(row => row.entry);
    },
    age,
    get bytes() {
      return bytes;
    },
    get count() {
      return rows.size;
    },
    untilExpiry() {
      const [oldest] = rows.values();
      if (oldest === undefined) {
        return 0;
      }
      return Math.max(0, oldest.entry.age + windowMs - age());
    },
  };
}
