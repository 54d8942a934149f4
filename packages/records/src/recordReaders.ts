/**
 * Selection of readers: entries that watch accepted records on the platform.
 *
 * The platform counts an open watch as a call, and its rate limits grow more
 * slowly than the fleet: a watch at every entry would exhaust the limits. A few
 * readers per failure domain suffice, and the loss of a failure domain leaves
 * the readers of all other domains.
 */
import {rendezvousOrder} from '@skylarkfield/base';

/** Properties of a member that the selection of readers depends on. */
export interface RecordMember {
  readonly id: string;
  readonly failureDomain: string;
}

/** With 2 readers, the failure of one reader has no effect. */
export const READERS_PER_FAILURE_DOMAIN = 2;

/**
 * Returns the ids of the readers of a failure domain, the preferred one first.
 *
 * @example
 * const isReader = selectReaders('a', members).includes(self.id);
 */
export function selectReaders(
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
