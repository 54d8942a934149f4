/**
 * Which entries tell which others about use and load.
 *
 * Everyone telling everyone costs the square of their number: 77 entries would
 * send 19,500 digests a second. Beyond a bound, two relays in each failure
 * domain collect what its entries say and pass sums on: an entry talks to two
 * others, and a relay to its failure domain and the other relays.
 */
import {rendezvousOrder} from '@skylarkfield/base';

/** How much of what a sender knows a digest tells. */
export type DigestScope =
  /** The sender's own part. */
  | 'own'
  /** The sender's failure domain. */
  | 'domain'
  /** The whole system but for the receiver. */
  | 'rest';

/** What the plan needs to know of an entry. */
export interface RelayNode {
  readonly id: string;
  readonly failureDomain: string;
  /** Takes new work; one that leaves is told and heard, and relays nothing. */
  readonly isLive: boolean;
  /** Processor cores that it may use. */
  readonly cores: number;
}

export interface RelayPlan {
  /** Whom this entry sends digests, and what they tell. */
  readonly targets: ReadonlyMap<string, DigestScope>;
  /** The relay of this entry's failure domain that goes before this one; while it is heard, this one only listens. */
  readonly precedence: string | undefined;
  /** Entries that read the platform and compete for duties, in the order of their turn. */
  readonly coordinators: readonly string[];
  /** Relays from which this entry hears of the others; empty when it is a relay or everyone tells everyone. */
  readonly upstream: readonly string[];
}

/** Up to this many entries, everyone tells everyone: the digests that each receives grow with their number. */
export const FLAT_ENTRIES = 24;

/** A second one takes over within four digests when the first dies. */
const RELAYS_PER_DOMAIN = 2;

/** What is ordered is named, so that the same entries do not come first in everything. */
const RELAY_KEY = 'relay';
const COORDINATOR_KEY = 'platform-reader';

/**
 * Plans for one entry; the same entries give plans that fit together.
 *
 * @example
 * const {targets} = planRelays({id: 'a1', failureDomain: 'a', isLive: true}, nodes);
 */
export function planRelays(
  self: RelayNode,
  nodes: readonly RelayNode[],
): RelayPlan {
  const others = nodes.filter(({id}) => id !== self.id);
  const live = nodes.filter(({isLive}) => isLive);
  if (nodes.length <= FLAT_ENTRIES) {
    return {
      targets: new Map(others.map(({id}) => [id, 'own'])),
      precedence: undefined,
      coordinators: rendezvousOrder(COORDINATOR_KEY, idsOf(live)),
      upstream: [],
    };
  }
  const relays = relaysByDomain(live);
  const ownRelays = relays.get(self.failureDomain) ?? [];
  const coordinators = inTurns([...relays.values()]);
  if (!ownRelays.includes(self.id)) {
    return {
      targets: new Map(ownRelays.map(id => [id, 'own'])),
      precedence: undefined,
      coordinators,
      upstream: ownRelays,
    };
  }
  const targets = new Map<string, DigestScope>();
  for (const {id, failureDomain} of others) {
    if (failureDomain === self.failureDomain) {
      targets.set(id, ownRelays.includes(id) ? 'own' : 'rest');
    } else if (relays.get(failureDomain)?.includes(id)) {
      targets.set(id, 'domain');
    }
  }
  return {
    targets,
    precedence: ownRelays[0] === self.id ? undefined : ownRelays[0],
    coordinators,
    upstream: [],
  };
}

function relaysByDomain(live: readonly RelayNode[]): Map<string, string[]> {
  const domains = new Set(live.map(({failureDomain}) => failureDomain));
  return new Map(
    [...domains].map(domain => {
      const members = live.filter(node => node.failureDomain === domain);
      const order = byCores(members).flatMap(equal =>
        rendezvousOrder(`${RELAY_KEY}/${domain}`, idsOf(equal)),
      );
      return [domain, order.slice(0, RELAYS_PER_DOMAIN)];
    }),
  );
}

/** Groups of nodes with equal cores, most cores first: a relay works for its whole failure domain. */
function byCores(nodes: readonly RelayNode[]): RelayNode[][] {
  const sizes = new Set(nodes.map(({cores}) => cores));
  return [...sizes]
    .sort((a, b) => b - a)
    .map(size => nodes.filter(({cores}) => cores === size));
}

/** All first relays before all second ones: a second one is not heard outside its failure domain while the first is. */
function inTurns(relays: readonly (readonly string[])[]): string[] {
  return Array.from({length: RELAYS_PER_DOMAIN}, (_, place) =>
    rendezvousOrder(
      COORDINATOR_KEY,
      relays.flatMap(ids => ids.slice(place, place + 1)),
    ),
  ).flat();
}

function idsOf(nodes: readonly RelayNode[]): string[] {
  return nodes.map(({id}) => id);
}
