/**
 * Which entries read accepted records from the platform themselves.
 *
 * The platform counts a waiting watch as a call, and its rates grow more slowly
 * than the fleet: with a watch at every entry the watches alone would use them
 * up. A few readers per failure domain are enough, and losing a whole failure
 * domain leaves the readers of all others.
 */
import {rendezvousOrder} from '@skylarkfield/base';

/** What is needed of a member to share out the reading. */
export interface RecordMember {
  readonly id: string;
  readonly failureDomain: string;
}

/** Readers per failure domain: one may fail and nobody has to notice. */
export const READERS_PER_FAILURE_DOMAIN = 2;

/**
 * The readers of a failure domain among the live members, the first one first.
 *
 * @example
 * const isReader = readersOf('a', members).includes(self.id);
 */
export function readersOf(
  failureDomain: string,
  members: readonly RecordMember[],
): readonly string[] {
  const ids = members
    .filter(member => member.failureDomain === failureDomain)
    .map(member => member.id);
  return rendezvousOrder(`records/${failureDomain}`, ids).slice(
    0,
    READERS_PER_FAILURE_DOMAIN,
  );
}
