/** Selects the entries that are listed in the response to a caller's lookup. */
import {hash32} from '@skylarkfield/base';
import type {Member} from '@skylarkfield/members';

/**
 * Maximum number of entries in one response. Callers distribute their requests
 * evenly over the listed entries, so entries with more cores are listed for
 * more callers.
 */
const MAX_ENTRIES = 8;

/** Minimum entries in one response, as alternatives to a failed entry. */
const MIN_ENTRIES = 2;

/**
 * Fraction of the entries that must reach all endpoints for the others to be
 * omitted: those that are cut off still share the work of accepting callers.
 */
const MIN_REACHING_FRACTION = 0.5;

/** Assumed cores of an entry that does not report them. */
export const DEFAULT_CORES = 1;

/** Divisor that maps a 32-bit hash plus one to a fraction in (0, 1). */
const HASH_RANGE = 2 ** 32 + 1;

/** A caller that looks up entries. */
export interface LookupCaller {
  readonly failureDomain: string;
  /** Undefined if the caller does not declare its region. */
  readonly region: string | undefined;
  /** IP address. */
  readonly address: string;
}

/**
 * Returns the addresses of live entries in the caller's failure domain, where
 * traffic is free, and adds remote entries only if there are fewer local
 * entries than the minimum. Remote entries in the caller's region come first:
 * requests may be restricted to regions.
 *
 * In large failure domains each caller gets a subset of the entries, chosen by
 * rendezvous hashing weighted by cores. The subset is stable because callers
 * close their connections to entries that are no longer listed.
 *
 * @example
 * const addresses = selectEntries(membership.liveMembers(),
 *   {failureDomain: 'zone-a', region: 'north', address: '10.9.0.4'});
 */
export function selectEntries(
  liveMembers: readonly Member[],
  {failureDomain, region, address: callerAddress}: LookupCaller,
): readonly string[] {
  const listedMembers = omitCutOff(liveMembers);
  const localMembers = listedMembers.filter(
    member => member.failureDomain === failureDomain,
  );
  const remoteMembers = listedMembers.filter(
    member => member.failureDomain !== failureDomain,
  );
  const missingCount = Math.max(0, MIN_ENTRIES - localMembers.length);
  const regionalMembers = remoteMembers.filter(
    member => region === undefined || member.region === region,
  );
  // Entries in other regions are listed only if the caller's region has none.
  const eligibleMembers =
    localMembers.length + regionalMembers.length > 0
      ? regionalMembers
      : remoteMembers;
  const eligibleMembersByLoad = [...eligibleMembers].sort(
    (a, b) => a.load - b.load,
  );
  const selectedMembers =
    localMembers.length === 0
      ? eligibleMembersByLoad
      : [...localMembers, ...eligibleMembersByLoad.slice(0, missingCount)];
  return limitByCores(selectedMembers, callerAddress).map(({callerUrl}) =>
    addressOf(callerUrl),
  );
}

/** Omits entries that are cut off from endpoints if enough others remain. */
function omitCutOff(members: readonly Member[]): readonly Member[] {
  const reachingMembers = members.filter(
    ({unreachableServices}) => unreachableServices === undefined,
  );
  return reachingMembers.length >= members.length * MIN_REACHING_FRACTION
    ? reachingMembers
    : members;
}

/**
 * Returns at most `MAX_ENTRIES` of the members, selected for the caller by
 * rendezvous hashing weighted by cores.
 */
function limitByCores(
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
