/** Ranking of entries for a caller: bounded-load rendezvous hashing. */
import {hashFraction, rendezvousOrder, type Random} from '@skylarkfield/base';
import type {LookupResult, LookupQuery, Member} from './contracts.js';

/**
 * Maximum number of entries in a result; enough for failover when several
 * entries fail at once.
 */
const MAX_ENTRIES = 8;
/** Time to live of a result, in milliseconds. */
const TTL_MS = 5_000;
/** Time to live of a result with at most one live entry, in milliseconds. */
const SINGLE_ENTRY_TTL_MS = 1_000;
/**
 * Multiple of the mean load above which an entry is ranked after less loaded
 * entries.
 */
const LOAD_BOUND_FACTOR = 1.25;
/**
 * Requests in flight added to the load bound, so that small loads count as
 * equal.
 */
const LOAD_TOLERANCE = 4;

/**
 * Ranks the entries that accept new work, best first. With an affinity key,
 * every entry returns the same first choice for a customer and session unless
 * that entry is loaded beyond the load bound; without an affinity key, callers
 * are spread over the entries.
 *
 * @example
 * const query = {customer: 'namu', affinity: 's1'};
 * const {entries} = rankEntries(membership.members(), query);
 */
export function rankEntries(
  members: readonly Member[],
  query: LookupQuery,
  random?: Random,
): LookupResult {
  const liveMembers = members.filter(member => member.state === 'live');
  const costs = new Map(
    liveMembers.map(member => [member.id, overloadCost(member, liveMembers)]),
  );
  const preferredIds = sortByPreference(liveMembers, query, random);
  const positions = new Map(preferredIds.map((id, index) => [id, index]));
  const hasAffinity = query.affinity !== undefined;

  function rank(member: Member): readonly number[] {
    const loadCost = costs.get(member.id) ?? 0;
    const domainDistance = member.failureDomain === query.failureDomain ? 0 : 1;
    const position = positions.get(member.id) ?? 0;
    // With affinity, load only matters beyond the load bound, and the failure
    // domain never outweighs a warm cache.
    return hasAffinity
      ? [Math.min(loadCost, 1), position]
      : [loadCost, domainDistance, position];
  }

  const entries = liveMembers
    .map(member => ({member, rank: rank(member)}))
    .sort((a, b) => compareRanks(a.rank, b.rank))
    .slice(0, MAX_ENTRIES)
    .map(({member}) => ({
      id: member.id,
      url: member.callerUrl,
      failureDomain: member.failureDomain,
    }));
  return {
    entries,
    ttlMs: liveMembers.length > 1 ? TTL_MS : SINGLE_ENTRY_TTL_MS,
  };
}

/**
 * Returns 0 for a load up to the load bound, and for a higher load the excess
 * as a multiple of the mean load, rounded up. Coarse steps keep slightly
 * outdated loads from sending all callers to one entry.
 */
function overloadCost(member: Member, liveMembers: readonly Member[]): number {
  const totalLoad = liveMembers.reduce((sum, other) => sum + other.load, 0);
  const meanLoad = totalLoad / liveMembers.length;
  const loadBound = meanLoad * LOAD_BOUND_FACTOR + LOAD_TOLERANCE;
  if (member.load <= loadBound) {
    return 0;
  }
  return Math.ceil(
    (member.load - loadBound) / Math.max(meanLoad, LOAD_TOLERANCE),
  );
}

function sortByPreference(
  liveMembers: readonly Member[],
  query: LookupQuery,
  random: Random | undefined,
): string[] {
  const ids = liveMembers.map(member => member.id);
  const {customer = '', affinity} = query;
  if (affinity !== undefined) {
    return rendezvousOrder(`${customer}\u0000${affinity}`, ids);
  }
  if (random === undefined) {
    return rendezvousOrder(customer, ids);
  }
  const salt = String(random.next());
  const scores = new Map(ids.map(id => [id, hashFraction(id + salt)]));
  return ids.sort((a, b) => scores.get(a)! - scores.get(b)!);
}

function compareRanks(a: readonly number[], b: readonly number[]): number {
  for (let index = 0; index < a.length; index++) {
    const difference = a[index]! - b[index]!;
    if (difference !== 0) {
      return difference;
    }
  }
  return 0;
}
