/** Chooses the entry that takes over the requests of one that is cut off. */
import type {Random} from '@skylarkfield/base';
import type {Member} from '@skylarkfield/members';
import {DEFAULT_CORES} from '../callers/lookup.js';

/** A request that needs another entry. */
export interface PeerRequest {
  readonly service: string;
  /** Regions in which the request may run; absent for all. */
  readonly regions?: readonly string[] | undefined;
  /** Ids of the entries that must not be chosen. */
  readonly excluded: ReadonlySet<string>;
}

/**
 * Number of entries compared for each request. Choosing the best of a few random
 * ones spreads requests even if the reported loads are old; choosing the best of
 * all would send the requests of a whole failure domain to one entry.
 */
const COMPARED_ENTRIES = 3;

/**
 * Factor on the load of entries in other failure domains: traffic between
 * domains costs money, but less than an overloaded entry.
 */
const REMOTE_LOAD_FACTOR = 1.25;

/**
 * Returns the least loaded of a few live entries; undefined if there is none
 * that may take the request.
 *
 * @example
 * const peer = choosePeer(membership.liveMembers(), 'a', {service: 'chat',
 *   excluded: new Set(['a1'])}, {random, ownRequestsAt: () => 0});
 */
export function choosePeer(
  liveMembers: readonly Member[],
  failureDomain: string,
  {service, regions, excluded}: PeerRequest,
  {
    random,
    ownRequestsAt,
  }: {
    readonly random: Random;
    /** Requests in flight that this entry has handed over to another one. */
    ownRequestsAt(id: string): number;
  },
): Member | undefined {
  const permittedMembers = liveMembers.filter(
    ({id, region}) =>
      !excluded.has(id) && (regions === undefined || regions.includes(region)),
  );
  const reachingMembers = permittedMembers.filter(
    ({unreachableServices}) => unreachableServices?.includes(service) !== true,
  );
  // An entry announces with a delay that it reaches endpoints again.
  const candidates =
    reachingMembers.length > 0 ? reachingMembers : permittedMembers;
  function loadPerCore({id, load, cores = DEFAULT_CORES, ...member}: Member) {
    const requests = load + ownRequestsAt(id) + 1;
    const isRemote = member.failureDomain !== failureDomain;
    return (requests / cores) * (isRemote ? REMOTE_LOAD_FACTOR : 1);
  }
  return candidates
    .map(member => ({member, rank: random.next()}))
    .sort((a, b) => a.rank - b.rank)
    .slice(0, COMPARED_ENTRIES)
    .map(({member}) => ({member, load: loadPerCore(member)}))
    .reduce<{member: Member; load: number} | undefined>(
      (best, next) =>
        best === undefined || next.load < best.load ? next : best,
      undefined,
    )?.member;
}
