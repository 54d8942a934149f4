/**
 * Positions in the history of a store that may be restored from a copy.
 *
 * A restored store assigns revisions again that it had assigned before, and
 * starts a new era. A position therefore consists of the era and the revision
 * in it, in one number, so that the usual operators order positions across
 * eras.
 */

/** Position in the store's history; made only by `createStoreRevision`. */
export type StoreRevision = number;

/** Exceeds the number of changes in one era; 2^13 eras remain exact. */
const REVISIONS_PER_ERA = 2 ** 40;

/**
 * Returns the position of a revision in an era.
 *
 * @example
 * createStoreRevision(1, 7) > createStoreRevision(0, 900); // true
 */
export function createStoreRevision(
  era: number,
  revision: number,
): StoreRevision {
  return era * REVISIONS_PER_ERA + revision;
}

/**
 * Returns the era of a position; 0 until the store has been restored.
 *
 * @example
 * eraOf(createStoreRevision(1, 7)); // 1
 */
export function eraOf(position: StoreRevision): number {
  return Math.floor(position / REVISIONS_PER_ERA);
}

/**
 * Returns the revision of a position in its era, as the store counts it.
 *
 * @example
 * revisionInEra(createStoreRevision(1, 7)); // 7
 */
export function revisionInEra(position: StoreRevision): number {
  return position % REVISIONS_PER_ERA;
}
