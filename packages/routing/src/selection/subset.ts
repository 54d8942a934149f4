/** Deterministic subsetting: assigns each entry some endpoints of a service. */
import {hash32} from '@skylarkfield/base';

/**
 * Target endpoints per entry; each entry uses all endpoints of a smaller
 * service.
 */
export const SUBSET_SIZE = 48;
/** Lower bound of the number of entries that use an endpoint. */
const MIN_ENTRIES_PER_ENDPOINT = 8;

/** Combines two hashes into a cheap rendezvous score. */
function mixHashes(a: number, b: number): number {
  let value = Math.imul(a ^ b, 0x9e3779b1);
  value = Math.imul(value ^ (value >>> 15), 0x85ebca6b) ^ b;
  value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35);
  return (value ^ (value >>> 16)) >>> 0;
}

/**
 * Returns the number of entries that use each endpoint, so that an entry uses
 * about `SUBSET_SIZE` endpoints.
 *
 * @example
 * entriesPerEndpoint(4800, 1700); // 17
 */
export function entriesPerEndpoint(
  endpointCount: number,
  entryCount: number,
): number {
  if (endpointCount <= SUBSET_SIZE) {
    return entryCount;
  }
  const neededEntries = Math.ceil((SUBSET_SIZE * entryCount) / endpointCount);
  return Math.min(
    entryCount,
    Math.max(MIN_ENTRIES_PER_ENDPOINT, neededEntries),
  );
}

/**
 * Returns the endpoints that the entry `self` uses.
 *
 * Each endpoint is assigned to the same number of entries, the first in its
 * rendezvous order. If each entry picked endpoints at random, some endpoints
 * would be picked by far more entries and carry more load. Adding or removing
 * one entry or endpoint changes few assignments.
 *
 * @example
 * const assignedIds = pickSubset('e1', entryIds, endpointIds);
 */
export function pickSubset(
  self: string,
  entries: readonly string[],
  endpoints: readonly string[],
): Set<string> {
  const assigneeCount = entriesPerEndpoint(endpoints.length, entries.length);
  if (assigneeCount >= entries.length) {
    return new Set(endpoints);
  }
  const selfHash = hash32(self);
  const otherHashes = entries
    .filter(entry => entry !== self)
    .map(entry => hash32(entry));
  return new Set(
    endpoints.filter(endpoint =>
      isAssigned(selfHash, otherHashes, hash32(endpoint), assigneeCount),
    ),
  );
}

/**
 * Returns whether fewer than `assigneeCount` other entries rank before `self`.
 */
function isAssigned(
  selfHash: number,
  otherHashes: readonly number[],
  endpointHash: number,
  assigneeCount: number,
): boolean {
  const selfScore = mixHashes(selfHash, endpointHash);
  let higherRankedCount = 0;
  for (const otherHash of otherHashes) {
    if (mixHashes(otherHash, endpointHash) > selfScore) {
      higherRankedCount += 1;
      if (higherRankedCount >= assigneeCount) {
        return false;
      }
    }
  }
  return true;
}
