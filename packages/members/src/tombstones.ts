/** Expiry of tombstones, the table items of members that are gone. */
import type {MemberTable} from './memberTable.js';

/** Maximum number of tombstones; the oldest are removed first. */
const MAX_TOMBSTONES = 4_096;

/**
 * Removes tombstones older than `ttlMs` milliseconds, and the oldest ones above
 * `MAX_TOMBSTONES`.
 *
 * @example
 * pruneTombstones(table, clock.now(), timing.tombstoneTtlMs);
 */
export function pruneTombstones(
  table: MemberTable,
  now: number,
  ttlMs: number,
): void {
  const gone = [...table.all()]
    .filter(known => known.machine.state() === 'gone')
    .sort((a, b) => a.changedAt - b.changedAt);
  const surplus = gone.length - MAX_TOMBSTONES;
  gone.forEach((known, index) => {
    const isExpired = now - known.changedAt > ttlMs;
    if (isExpired || index < surplus) {
      table.remove(known.update.id);
    }
  });
}
