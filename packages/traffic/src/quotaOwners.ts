/**
 * Owners of customers' quotas.
 *
 * One entry, the owner, grants all requests of a customer, so that what is
 * granted never depends on the age of reports. The entries after it in the
 * ranking stand in for it.
 */
import {rendezvousOrder} from '@skylarkfield/base';

/** An entry that may own quotas. */
export interface QuotaOwnerCandidate {
  readonly id: string;
  /** Start of its process, in wall-clock milliseconds. */
  readonly startedAtMs: number;
}

/**
 * Ranks the candidates for a customer's quota, owner first. Entries that rank
 * the same candidates agree.
 *
 * An entry that started less than a window ago comes after all others, since
 * it does not know the usage before its start; among such entries the oldest
 * comes first.
 *
 * @example
 * const [owner, standIn] = rankQuotaOwners('chain', [relays, standbyRelays],
 *   {wallMs: clock.wall(), windowMs: 8_000});
 */
export function rankQuotaOwners(
  customer: string,
  /** Candidates in groups; those of the first group are preferred. */
  groups: readonly (readonly QuotaOwnerCandidate[])[],
  {wallMs, windowMs}: {readonly wallMs: number; readonly windowMs: number},
): string[] {
  const isSettled = ({startedAtMs}: QuotaOwnerCandidate) =>
    wallMs - startedAtMs >= windowMs;
  const settledIds = groups.flatMap(group =>
    rendezvousOrder(
      customer,
      group.filter(isSettled).map(({id}) => id),
    ),
  );
  const startingIds = groups
    .flat()
    .filter(candidate => !isSettled(candidate))
    .sort((a, b) => a.startedAtMs - b.startedAtMs || (a.id < b.id ? -1 : 1))
    .map(({id}) => id);
  return [...settledIds, ...startingIds];
}
