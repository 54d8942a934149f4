/**
 * Selection of the entries that watch a source, such as reclaim notices, on
 * behalf of all others, so that the number of watches does not grow with the
 * number of entries.
 */
import {rendezvousOrder} from '@skylarkfield/base';
import type {Member} from './contracts.js';

/** Readers in each failure domain; two, so that one may fail. */
const READERS_PER_DOMAIN = 2;

/**
 * Returns whether a member is a reader of a topic, that is, among the first
 * `READERS_PER_DOMAIN` live members of its failure domain in rendezvous hash
 * order. In small installations all members are readers.
 *
 * @example
 * const liveMembers = membership.liveMembers();
 * tracker.setIsNoticeReader(isReader(liveMembers, membership.self, 'notices'));
 */
export function isReader(
  liveMembers: readonly Member[],
  self: Pick<Member, 'id' | 'failureDomain'>,
  topic: string,
): boolean {
  const domainMemberIds = liveMembers
    .filter(member => member.failureDomain === self.failureDomain)
    .map(member => member.id);
  return rendezvousOrder(topic, domainMemberIds)
    .slice(0, READERS_PER_DOMAIN)
    .includes(self.id);
}
