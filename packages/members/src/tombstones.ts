/** Expiry of tombstones, the table items of members that are gone. */
import type {MemberTable} from './memberTable.js';

/** Maximum number of tombstones; the oldest are removed first. */
const MAX_TOMBSTONES = 4_096;

/**
 * Removes tombstones older than `ttlMs` milliseconds, and the oldest tombstones
 * in excess of `MAX_TOMBSTONES`.
 *
 * @example
 * pruneTombstones(table, clock.now(), timing.tombstoneTtlMs);
 */
export function pruneTombstones(
  table: MemberTable,
  now: number,
  ttlMs: number,
): void {
  const tombstones = [...table.all()]
    .filter(knownMember => knownMember.machine.state() === 'gone')
    .sort((a, b) => a.changedAt - b.changedAt);
  const surplusCount = tombstones.length - MAX_TOMBSTONES;
  tombstones.forEach((knownMember, index) => {
    const isExpired = now - knownMember.changedAt > ttlMs;
    if (isExpired || index < surplusCount) {
      table.remove(knownMember.update.id);
    }
  });
}
