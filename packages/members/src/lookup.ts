/** Which entries a caller should use. */
import {hashFraction, rendezvousOrder, type Random} from '@skylarkfield/base';
import type {LookupAnswer, LookupQuestion, Member} from './contracts.js';

/** Addresses in one answer: enough to go on when several entries vanish at once. */
const MOST_ENTRIES = 8;
/** Validity of an answer, in milliseconds. */
const TTL_MS = 5_000;
/** Validity while there are too few entries to choose among, in milliseconds. */
const SHORT_TTL_MS = 1_000;
/** An entry above this multiple of the mean load is passed by for affinity. */
const LOAD_BOUND = 1.25;
/** Requests by which loads may differ and still count as equal. */
const EQUAL_LOAD = 4;

/**
 * Orders the entries that take new work, best first. With an affinity, callers
 * of one customer and session get the same entry from whichever entry they ask,
 * unless it is loaded beyond the bound; without one, callers are spread.
 *
 * @example
 * const answer = orderEntries(membership.members(), {customer: 'namu', affinity: 's1'});
 */
export function orderEntries(
  members: readonly Member[],
  question: LookupQuestion,
  random?: Random,
): LookupAnswer {
  const live = members.filter(member => member.state === 'live');
  const loads = new Map(live.map(member => [member.id, costOf(member, live)]));
  const preferred = preferenceOrder(live, question, random);
  const place = new Map(preferred.map((id, index) => [id, index]));
  const hasAffinity = question.affinity !== undefined;

  function rank(member: Member): readonly number[] {
    const cost = loads.get(member.id) ?? 0;
    const distance = member.failureDomain === question.failureDomain ? 0 : 1;
    const position = place.get(member.id) ?? 0;
    // With affinity the load only passes by an entry beyond the bound; the
    // failure domain never outweighs a warm cache.
    return hasAffinity
      ? [Math.min(cost, 1), position]
      : [cost, distance, position];
  }

  const entries = live
    .map(member => ({member, rank: rank(member)}))
    .sort((a, b) => compareRanks(a.rank, b.rank))
    .slice(0, MOST_ENTRIES)
    .map(({member}) => ({
      id: member.id,
      url: member.callerUrl,
      failureDomain: member.failureDomain,
    }));
  return {entries, ttlMs: live.length > 1 ? TTL_MS : SHORT_TTL_MS};
}

/**
 * 0 up to the bound over the mean, then one more for each further mean: coarse,
 * so that a small lag in the reported loads doesn't send everyone to one entry.
 */
function costOf(member: Member, live: readonly Member[]): number {
  const total = live.reduce((sum, other) => sum + other.load, 0);
  const mean = total / live.length;
  const bound = mean * LOAD_BOUND + EQUAL_LOAD;
  if (member.load <= bound) {
    return 0;
  }
  return Math.ceil((member.load - bound) / Math.max(mean, EQUAL_LOAD));
}

function preferenceOrder(
  live: readonly Member[],
  question: LookupQuestion,
  random: Random | undefined,
): string[] {
  const ids = live.map(member => member.id);
  const {customer = '', affinity} = question;
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
