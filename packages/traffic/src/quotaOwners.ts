/**
 * Owners of customers' quotas.
 *
 * One entry, the owner, grants all requests of a customer, so that what is
 * granted never depends on the age of reports. The entries after it in the
 * ranking stand in for it.
 */
import {rendezvousOrder} from '@skylarkfield/base';

/**
 * Time after which an entry that started less than a window ago may own quotas
 * like others of its kind, in milliseconds: it then knows the other entries.
 */
const JOINED_MS = 2_000;

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
 * it does not know the usage before its start. Among such entries, those that
 * have just started come last, oldest first; the oldest of all would own the
 * quotas of all customers.
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
  const upMs = ({startedAtMs}: QuotaOwnerCandidate) => wallMs - startedAtMs;
  const rankBetween = (minMs: number, maxMs: number) =>
    groups.flatMap(group =>
      rendezvousOrder(
        customer,
        group
          .filter(entry => upMs(entry) >= minMs && upMs(entry) < maxMs)
          .map(({id}) => id),
      ),
    );
  const startingIds = groups
    .flat()
    .filter(candidate => upMs(candidate) < JOINED_MS)
    .sort((a, b) => a.startedAtMs - b.startedAtMs || (a.id < b.id ? -1 : 1))
    .map(({id}) => id);
  return [
    ...rankBetween(windowMs, Infinity),
    ...rankBetween(JOINED_MS, windowMs),
    ...startingIds,
  ];
}
