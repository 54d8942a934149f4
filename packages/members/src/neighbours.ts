/**
 * Who sends heartbeats to whom. Up to a bound everyone to all; beyond, a few
 * neighbours on rings of hashed ids, so that what one entry sends does not grow
 * with their number. The relation is symmetric: who is sent to is also heard.
 */
import {hash32} from '@skylarkfield/base';

export interface Node {
  readonly id: string;
  readonly failureDomain: string;
}

/** Up to this many members, heartbeats go to all. */
export const ALL_TO_ALL_MEMBERS = 24;
/** Rings; each gives a neighbour on either side. */
const RINGS = 3;
/** Most neighbours taken from one side of one ring. */
const SIDE_LIMIT = 2;

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
    successor(order, at).forEach(id => chosen.add(id));
    predecessors(order, at).forEach(id => chosen.add(id));
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
  return order[(at + order.length) % order.length]!;
}

/** The first of another failure domain, or just the next when there is only one. */
function successor(order: readonly Node[], at: number): string[] {
  const own = nodeAt(order, at).failureDomain;
  for (let step = 1; step < order.length; step++) {
    const next = nodeAt(order, at + step);
    if (next.failureDomain !== own) {
      return [next.id];
    }
  }
  return [nodeAt(order, at + 1).id];
}

/** Those whose successor this one is: the run of one failure domain right before it. */
function predecessors(order: readonly Node[], at: number): string[] {
  const own = nodeAt(order, at).failureDomain;
  const first = nodeAt(order, at - 1);
  if (first.failureDomain === own) {
    const isOnlyOne = order.every(node => node.failureDomain === own);
    return isOnlyOne ? [first.id] : [];
  }
  const found = [first.id];
  for (let step = 2; found.length < SIDE_LIMIT; step++) {
    const node = nodeAt(order, at - step);
    if (node.failureDomain !== first.failureDomain) {
      break;
    }
    found.push(node.id);
  }
  return found;
}
