/** Tells callers which entries to connect to. */
import {hash32} from '@skylarkfield/base';
import type {Member} from '@skylarkfield/members';

/**
 * Upper bound of the entries in one answer. A caller spreads its requests evenly
 * over them, so few of many let each caller's own choice follow the cores.
 */
const MAX_ENTRIES = 8;

/** With fewer near entries than this, farther ones are named too: callers must have one left when an entry dies. */
const MIN_ENTRIES = 2;

/** Cores of an entry that does not say. */
export const DEFAULT_CORES = 1;

/** Makes a hash a fraction between 0 and 1, both excluded. */
const HASH_RANGE = 2 ** 32 + 1;

/**
 * Addresses of the entries that take new work, for a caller in a failure domain:
 * those beside it, since every byte between failure domains is paid for, and
 * others only where there are too few.
 *
 * Of many entries each caller gets its own few, those with more cores more
 * often. The same caller gets the same ones for as long as they live, since it
 * closes its connections to those that an answer no longer names.
 *
 * @example
 * const addresses = entriesFor(membership.live(), 'zone-a', '10.9.0.4');
 */
export function entriesFor(
  live: readonly Member[],
  failureDomain: string,
  caller: string,
): readonly string[] {
  const near = live.filter(member => member.failureDomain === failureDomain);
  const far = live.filter(member => member.failureDomain !== failureDomain);
  const missing = Math.max(0, MIN_ENTRIES - near.length);
  const byLoad = [...far].sort((a, b) => a.load - b.load);
  const named =
    near.length === 0 ? byLoad : [...near, ...byLoad.slice(0, missing)];
  return chooseByCores(named, caller).map(({callerUrl}) =>
    addressOf(callerUrl),
  );
}

/** Weighted rendezvous hashing: an entry is chosen in proportion to its cores. */
function chooseByCores(
  members: readonly Member[],
  caller: string,
): readonly Member[] {
  if (members.length <= MAX_ENTRIES) {
    return members;
  }
  return members
    .map(member => ({member, rank: rankOf(member, caller)}))
    .sort((a, b) => a.rank - b.rank)
    .slice(0, MAX_ENTRIES)
    .map(({member}) => member);
}

function rankOf({id, cores = DEFAULT_CORES}: Member, caller: string): number {
  const fraction = (hash32(`${caller}\u0000${id}`) + 1) / HASH_RANGE;
  return -Math.log(fraction) / cores;
}

function addressOf(url: string): string {
  return new URL(url).host;
}
