/** Which endpoints of a large service an entry uses. */
import {hash32} from '@skylarkfield/base';

/** Services with no more endpoints than this are used whole by every entry. */
export const SUBSET_SIZE = 48;
/** An endpoint is used by at least so many entries, whatever the sizes. */
const MIN_HOLDERS = 8;

/** Mixes two hashes into one; a cheap rendezvous score. */
function mix(a: number, b: number): number {
  let value = Math.imul(a ^ b, 0x9e3779b1);
  value = Math.imul(value ^ (value >>> 15), 0x85ebca6b) ^ b;
  value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35);
  return (value ^ (value >>> 16)) >>> 0;
}

/**
 * Entries that should use each endpoint, so that an entry uses about
 * `SUBSET_SIZE` of them.
 *
 * @example
 * holdersPerEndpoint(4800, 1700); // 17
 */
export function holdersPerEndpoint(endpoints: number, entries: number): number {
  if (endpoints <= SUBSET_SIZE) {
    return entries;
  }
  const wanted = Math.ceil((SUBSET_SIZE * entries) / endpoints);
  return Math.min(entries, Math.max(MIN_HOLDERS, wanted));
}

/**
 * The endpoints that the entry `self` uses.
 *
 * Each endpoint is used by the same number of entries, the first ones of its
 * rendezvous order. Had each entry picked its endpoints by itself, some
 * endpoints would by chance be picked by far more entries than others and
 * carry more load; this way the numbers are even, and a change of one entry or
 * endpoint moves few pairs.
 *
 * @example
 * const mine = pickSubset('e1', entryIds, endpointIds);
 */
export function pickSubset(
  self: string,
  entries: readonly string[],
  endpoints: readonly string[],
): Set<string> {
  const holders = holdersPerEndpoint(endpoints.length, entries.length);
  if (holders >= entries.length) {
    return new Set(endpoints);
  }
  const selfHash = hash32(self);
  const otherHashes = entries
    .filter(entry => entry !== self)
    .map(entry => hash32(entry));
  return new Set(
    endpoints.filter(endpoint =>
      isHolder(selfHash, otherHashes, hash32(endpoint), holders),
    ),
  );
}

/** True when fewer than `holders` others come before self; stops counting there. */
function isHolder(
  selfHash: number,
  otherHashes: readonly number[],
  endpointHash: number,
  holders: number,
): boolean {
  const own = mix(selfHash, endpointHash);
  let before = 0;
  for (const other of otherHashes) {
    if (mix(other, endpointHash) > own) {
      before += 1;
      if (before >= holders) {
        return false;
      }
    }
  }
  return true;
}
