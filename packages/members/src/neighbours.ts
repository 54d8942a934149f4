/**
 * Selection of heartbeat neighbours. Small clusters form a full mesh; in larger
 * ones each entry has a few neighbours on rings of hashed ids, so that its
 * traffic does not grow with the cluster. The relation is symmetric: an entry
 * expects heartbeats from exactly those it sends to, and a one-sided neighbour
 * would become suspect.
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
 * Ring positions searched for another failure domain; bounds the number of
 * neighbours of a member in a rare failure domain.
 */
const MAX_SEARCH_STEPS = 4;

/**
 * Returns the ids that a member exchanges heartbeats with. On each ring the
 * successor is the next member of another failure domain, so that the members
 * of a lost failure domain have neighbours elsewhere that detect the loss.
 *
 * @example
 * const ids = neighboursOf('a1', members);
 */
export function neighboursOf(
  self: string,
  members: readonly NeighbourCandidate[],
): string[] {
  if (members.length <= MAX_FULL_MESH_MEMBERS) {
    return members.map(member => member.id).filter(id => id !== self);
  }
  const neighbours = new Set<string>();
  for (let ring = 0; ring < RING_COUNT; ring++) {
    const order = ringOrder(members, ring);
    const index = order.findIndex(member => member.id === self);
    if (index < 0) {
      continue;
    }
    const positions = [
      successorOf(order, index),
      ...predecessorsOf(order, index),
    ];
    positions.forEach(position => neighbours.add(memberAt(order, position).id));
  }
  neighbours.delete(self);
  return [...neighbours];
}

function ringOrder(
  members: readonly NeighbourCandidate[],
  ring: number,
): NeighbourCandidate[] {
  return members
    .map(member => ({member, hash: hash32(member.id, ring + 1)}))
    .sort((a, b) => a.hash - b.hash || (a.member.id < b.member.id ? -1 : 1))
    .map(({member}) => member);
}

function memberAt(
  order: readonly NeighbourCandidate[],
  index: number,
): NeighbourCandidate {
  return order[wrapIndex(order, index)]!;
}

function wrapIndex(
  order: readonly NeighbourCandidate[],
  index: number,
): number {
  return (index + order.length) % order.length;
}

/** Position of the next member, preferably in another failure domain. */
function successorOf(
  order: readonly NeighbourCandidate[],
  index: number,
): number {
  const ownDomain = memberAt(order, index).failureDomain;
  for (let step = 1; step <= MAX_SEARCH_STEPS; step++) {
    if (memberAt(order, index + step).failureDomain !== ownDomain) {
      return wrapIndex(order, index + step);
    }
  }
  return wrapIndex(order, index + 1);
}

/** Positions of the members whose successor is the one at the index. */
function predecessorsOf(
  order: readonly NeighbourCandidate[],
  index: number,
): number[] {
  const candidates = Array.from(
    {length: MAX_SEARCH_STEPS},
    (_, step) => index - 1 - step,
  );
  return candidates.filter(position => successorOf(order, position) === index);
}
