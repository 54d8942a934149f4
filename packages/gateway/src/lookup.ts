/** Selects the entries that a caller may connect to. */
import {hash32} from '@skylarkfield/base';
import type {Member} from '@skylarkfield/members';

/**
 * Maximum entries in one response. Callers spread their requests evenly over
 * them, so a subset weighted by cores shifts load to entries with more cores.
 */
const MAX_ENTRIES = 8;

/** Minimum entries in one response, as alternatives to a failed one. */
const MIN_ENTRIES = 2;

/** Assumed cores of an entry that does not report them. */
export const DEFAULT_CORES = 1;

/** Divisor that maps a 32-bit hash plus one to a fraction in (0, 1). */
const HASH_RANGE = 2 ** 32 + 1;

/**
 * Returns addresses of live entries in the caller's failure domain, where
 * traffic is free, and of remote entries only if there are too few local ones.
 *
 * In large failure domains each caller gets a stable subset, weighted by cores:
 * callers close connections to entries that are no longer listed.
 *
 * @example
 * const addresses = selectEntries(membership.live(), 'zone-a', '10.9.0.4');
 */
export function selectEntries(
  live: readonly Member[],
  failureDomain: string,
  callerAddress: string,
): readonly string[] {
  const local = live.filter(member => member.failureDomain === failureDomain);
  const remote = live.filter(member => member.failureDomain !== failureDomain);
  const missingCount = Math.max(0, MIN_ENTRIES - local.length);
  const remoteByLoad = [...remote].sort((a, b) => a.load - b.load);
  const selected =
    local.length === 0
      ? remoteByLoad
      : [...local, ...remoteByLoad.slice(0, missingCount)];
  return chooseByCores(selected, callerAddress).map(({callerUrl}) =>
    addressOf(callerUrl),
  );
}

/** Weighted rendezvous hashing by cores. */
function chooseByCores(
  members: readonly Member[],
  callerAddress: string,
): readonly Member[] {
  if (members.length <= MAX_ENTRIES) {
    return members;
  }
  return members
    .map(member => ({member, rank: rankOf(member, callerAddress)}))
    .sort((a, b) => a.rank - b.rank)
    .slice(0, MAX_ENTRIES)
    .map(({member}) => member);
}

function rankOf(
  {id, cores = DEFAULT_CORES}: Member,
  callerAddress: string,
): number {
  const fraction = (hash32(`${callerAddress}\u0000${id}`) + 1) / HASH_RANGE;
  return -Math.log(fraction) / cores;
}

function addressOf(url: string): string {
  return new URL(url).host;
}
