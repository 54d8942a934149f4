/** How long members that are gone are remembered. */
import type {MemberTable} from './memberTable.js';

/** Tombstones kept at most, the oldest dropped first. */
const MOST_TOMBSTONES = 4_096;

/**
 * Forgets members that have been gone for longer than the given milliseconds,
 * and the oldest of those above the bound.
 *
 * @example
 * dropTombstones(table, clock.now(), timing.tombstoneMs);
 */
export function dropTombstones(
  table: MemberTable,
  now: number,
  tombstoneMs: number,
): void {
  const gone = [...table.all()]
    .filter(known => known.machine.state() === 'gone')
    .sort((a, b) => a.changedAt - b.changedAt);
  const surplus = gone.length - MOST_TOMBSTONES;
  gone.forEach((known, index) => {
    const isOld = now - known.changedAt > tombstoneMs;
    if (isOld || index < surplus) {
      table.forget(known.news.id);
    }
  });
}
