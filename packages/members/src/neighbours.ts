/**
 * Selection of heartbeat neighbours. Small clusters form a full mesh; in larger
 * clusters each entry has a few neighbours on rings of hashed ids, so that the
 * traffic of an entry does not grow with the cluster. Being neighbours is a
 * symmetric relation: an entry expects heartbeats from exactly the members that
 * it sends heartbeats to, and a one-sided neighbour would become suspect.
 */
import {hash32} from '@skylarkfield/base';

/** Properties of a member that neighbour selection depends on. */
export interface NeighbourCandidate {
  readonly id: string;
  readonly failureDomain: string;
}

/** Largest cluster in which heartbeats go to all members. */
export const MAX_FULL_MESH_MEMBERS = 24;
/** Number of rings; each provides a neighbour on either side. */
const RING_COUNT = 3;
/**
 * Maximum number of ring positions searched for a member of another failure
 * domain; bounds the number of neighbours of a member in a rare failure domain.
 */
const MAX_SEARCH_STEPS = 4;

/**
 * Returns the ids of the members that `self` exchanges heartbeats with. On each
 * ring, the successor of a member is the next member of another failure domain,
 * so that the members of a lost failure domain have neighbours in other failure
 * domains, which detect the loss.
 *
 * @example
 * const ids = neighbourIdsOf('a1', members);
 */
export function neighbourIdsOf(
  self: string,
  members: readonly NeighbourCandidate[],
): string[] {
  if (members.length <= MAX_FULL_MESH_MEMBERS) {
    return members.map(member => member.id).filter(id => id !== self);
  }
  const neighbours = new Set<string>();
  for (let ringIndex = 0; ringIndex < RING_COUNT; ringIndex++) {
    const ringMembers = sortRing(members, ringIndex);
    const index = ringMembers.findIndex(member => member.id === self);
    if (index < 0) {
      continue;
    }
    const positions = [
      successorOf(ringMembers, index),
      ...predecessorsOf(ringMembers, index),
    ];
    positions.forEach(position =>
      neighbours.add(memberAt(ringMembers, position).id),
    );
  }
  neighbours.delete(self);
  return [...neighbours];
}

function sortRing(
  members: readonly NeighbourCandidate[],
  ringIndex: number,
): NeighbourCandidate[] {
  return members
    .map(member => ({member, hash: hash32(member.id, ringIndex + 1)}))
    .sort((a, b) => a.hash - b.hash || (a.member.id < b.member.id ? -1 : 1))
    .map(({member}) => member);
}

function memberAt(
  ringMembers: readonly NeighbourCandidate[],
  index: number,
): NeighbourCandidate {
  return ringMembers[wrapIndex(ringMembers, index)]!;
}

function wrapIndex(
  ringMembers: readonly NeighbourCandidate[],
  index: number,
): number {
  return (index + ringMembers.length) % ringMembers.length;
}

/**
 * Returns the position of the next member in another failure domain, or of the
 * next member if none is within `MAX_SEARCH_STEPS`.
 */
function successorOf(
  ringMembers: readonly NeighbourCandidate[],
  index: number,
): number {
  const ownDomain = memberAt(ringMembers, index).failureDomain;
  for (let step = 1; step <= MAX_SEARCH_STEPS; step++) {
    if (memberAt(ringMembers, index + step).failureDomain !== ownDomain) {
      return wrapIndex(ringMembers, index + step);
    }
  }
  return wrapIndex(ringMembers, index + 1);
}

/** Returns the positions of the members whose successor is at `index`. */
function predecessorsOf(
  ringMembers: readonly NeighbourCandidate[],
  index: number,
): number[] {
  const candidates = Array.from(
    {length: MAX_SEARCH_STEPS},
    (_, step) => index - 1 - step,
  );
  return candidates.filter(
    position => successorOf(ringMembers, position) === index,
  );
}
