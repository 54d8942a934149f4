/**
 * Who sends heartbeats to whom. Up to a bound everyone to all; beyond, a few
 * neighbours on rings of hashed ids, so that what one entry sends does not grow
 * with their number. The relation is symmetric: an entry expects heartbeats of
 * just those to whom it sends, and a one-sided neighbour would look silent.
 */
import {hash32} from '@skylarkfield/base';

/** What the choice of neighbours needs to know of a member. */
export interface Node {
  readonly id: string;
  readonly failureDomain: string;
}

/** Up to this many members, heartbeats go to all. */
export const ALL_TO_ALL_MEMBERS = 24;
/** Rings; each gives a neighbour on either side. */
const RINGS = 3;
/** Places looked at for another failure domain: bounds the neighbours of a rare one. */
const SEARCH = 4;

/**
 * Gives the ids that a member exchanges heartbeats with. On each ring the next
 * member is the first of another failure domain, so that losing a failure
 * domain leaves each of its members with neighbours that notice.
 *
 * @example
 * const ids = neighboursOf('a1', members);
 */
export function neighboursOf(self: string, nodes: readonly Node[]): string[] {
  if (nodes.length <= ALL_TO_ALL_MEMBERS) {
    return nodes.map(node => node.id).filter(id => id !== self);
  }
  const chosen = new Set<string>();
  for (let ring = 0; ring < RINGS; ring++) {
    const order = ringOrder(nodes, ring);
    const at = order.findIndex(node => node.id === self);
    if (at < 0) {
      continue;
    }
    const places = [successorOf(order, at), ...predecessorsOf(order, at)];
    places.forEach(place => chosen.add(nodeAt(order, place).id));
  }
  chosen.delete(self);
  return [...chosen];
}

function ringOrder(nodes: readonly Node[], ring: number): Node[] {
  return nodes
    .map(node => ({node, place: hash32(node.id, ring + 1)}))
    .sort((a, b) => a.place - b.place || (a.node.id < b.node.id ? -1 : 1))
    .map(({node}) => node);
}

function nodeAt(order: readonly Node[], at: number): Node {
  return order[wrap(order, at)]!;
}

function wrap(order: readonly Node[], at: number): number {
  return (at + order.length) % order.length;
}

/** Place of the first of another failure domain close by, or else of the next. */
function successorOf(order: readonly Node[], at: number): number {
  const own = nodeAt(order, at).failureDomain;
  for (let step = 1; step <= SEARCH; step++) {
    if (nodeAt(order, at + step).failureDomain !== own) {
      return wrap(order, at + step);
    }
  }
  return wrap(order, at + 1);
}

/** Places of those whose successor this one is. */
function predecessorsOf(order: readonly Node[], at: number): number[] {
  const before = Array.from({length: SEARCH}, (_, step) => at - 1 - step);
  return before.filter(place => successorOf(order, place) === at);
}
