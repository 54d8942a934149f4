/** Which entries watch something for all, so that watches don't grow with the entries. */
import {rendezvousOrder} from '@skylarkfield/base';
import type {Member} from './contracts.js';

/** Readers in each failure domain: one may fail while the other goes on. */
const READERS_PER_DOMAIN = 2;

/**
 * Whether a member is a reader of a topic: the first few of its failure domain
 * by rendezvous hashing over the live members. In small installations all are.
 *
 * @example
 * leaving.setReader(isReader(membership.live(), membership.self, 'notices'));
 */
export function isReader(
  live: readonly Member[],
  self: Pick<Member, 'id' | 'failureDomain'>,
  topic: string,
): boolean {
  const peers = live
    .filter(member => member.failureDomain === self.failureDomain)
    .map(member => member.id);
  return rendezvousOrder(topic, peers)
    .slice(0, READERS_PER_DOMAIN)
    .includes(self.id);
}
