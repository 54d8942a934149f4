/** Ranking of entries for a caller: bounded-load rendezvous hashing. */
import {hashFraction, rendezvousOrder, type Random} from '@skylarkfield/base';
import type {LookupResult, LookupQuery, Member} from './contracts.js';

/** Maximum entries in a result; enough for failover if several fail at once. */
const MAX_ENTRIES = 8;
/** Time to live of a result, in milliseconds. */
const TTL_MS = 5_000;
/** Time to live while there is at most one live entry, in milliseconds. */
const SINGLE_ENTRY_TTL_MS = 1_000;
/** Multiple of the mean load above which affinity skips an entry. */
const LOAD_BOUND_FACTOR = 1.25;
/** Difference in requests in flight at which loads still count as equal. */
const LOAD_TOLERANCE = 4;

/**
 * Ranks the entries that accept new work, best first. With an affinity key,
 * every entry returns the same first choice for a customer and session unless
 * it is loaded beyond the bound; without one, callers are spread.
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
  const live = members.filter(member => member.state === 'live');
  const costs = new Map(
    live.map(member => [member.id, overloadCost(member, live)]),
  );
  const preferredIds = preferenceOrder(live, query, random);
  const positions = new Map(preferredIds.map((id, index) => [id, index]));
  const hasAffinity = query.affinity !== undefined;

  function rank(member: Member): readonly number[] {
    const cost = costs.get(member.id) ?? 0;
    const distance = member.failureDomain === query.failureDomain ? 0 : 1;
    const position = positions.get(member.id) ?? 0;
    // With affinity, load only matters beyond the bound, and the failure domain
    // never outweighs a warm cache.
    return hasAffinity
      ? [Math.min(cost, 1), position]
      : [cost, distance, position];
  }

  const entries = live
    .map(member => ({member, rank: rank(member)}))
    .sort((a, b) => compareRanks(a.rank, b.rank))
    .slice(0, MAX_ENTRIES)
    .map(({member}) => ({
      id: member.id,
      url: member.callerUrl,
      failureDomain: member.failureDomain,
    }));
  return {entries, ttlMs: live.length > 1 ? TTL_MS : SINGLE_ENTRY_TTL_MS};
}

/**
 * Returns 0 for a load up to the bound, plus 1 for each further mean load above
 * it. Coarse steps keep slightly outdated loads from sending all callers to one
 * entry.
 */
function overloadCost(member: Member, live: readonly Member[]): number {
  const total = live.reduce((sum, other) => sum + other.load, 0);
  const mean = total / live.length;
  const bound = mean * LOAD_BOUND_FACTOR + LOAD_TOLERANCE;
  if (member.load <= bound) {
    return 0;
  }
  return Math.ceil((member.load - bound) / Math.max(mean, LOAD_TOLERANCE));
}

function preferenceOrder(
  live: readonly Member[],
  query: LookupQuery,
  random: Random | undefined,
): string[] {
  const ids = live.map(member => member.id);
  const {customer = '', affinity} = query;
  if (affinity !== undefined) {
    return rendezvousOrder(`${customer}\u0000${affinity}`, ids);
  }
  if (random === undefined) {
    return rendezvousOrder(customer, ids);
  }
  const salt = String(random.next());
  const score = new Map(ids.map(id => [id, hashFraction(id + salt)]));
  return ids.sort((a, b) => score.get(a)! - score.get(b)!);
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
