/**
 * Topology of the digests: a full mesh in small fleets, relays in large ones.
 *
 * The cost of a full mesh grows with the square of the entries. Above
 * `MAX_FULL_MESH_ENTRIES`, an entry reports to the two relays of its failure
 * domain; relays aggregate and exchange sums.
 */
import {rendezvousOrder} from '@skylarkfield/base';

/** Part of the fleet that a digest covers. */
export type DigestScope =
  /** The sender. */
  | 'own'
  /** The sender's failure domain. */
  | 'domain'
  /** All entries except the receiver. */
  | 'rest';

/** An entry, as an input of the plan. */
export interface RelayNode {
  readonly id: string;
  readonly failureDomain: string;
  /** False while draining; the entry then exchanges digests but is no relay. */
  readonly isLive: boolean;
  /** Available processor cores. */
  readonly cores: number;
}

export interface RelayPlan {
  /** Receivers of this entry's digests, with the scope of each. */
  readonly targets: ReadonlyMap<string, DigestScope>;
  /** Active relay while this entry is its standby; undefined otherwise. */
  readonly activeRelay: string | undefined;
  /** Entries that may read the platform and hold leases, by precedence. */
  readonly coordinators: readonly string[];
  /** Relays of this entry, active one first; empty in a mesh or for relays. */
  readonly ownRelays: readonly string[];
}

/** Largest fleet that uses a full mesh. */
export const MAX_FULL_MESH_ENTRIES = 24;

/** One active and one standby relay. */
const RELAYS_PER_DOMAIN = 2;

/** Two hash keys, so that the two orders start with different entries. */
const RELAY_KEY = 'relay';
const COORDINATOR_KEY = 'platform-reader';

/**
 * Returns the plan of one entry. All entries' plans from the same nodes match.
 *
 * @example
 * const {targets} = planRelays({id: 'a1', failureDomain: 'a', isLive: true,
 *   cores: 1}, nodes);
 */
export function planRelays(
  self: RelayNode,
  nodes: readonly RelayNode[],
): RelayPlan {
  const others = nodes.filter(({id}) => id !== self.id);
  const live = nodes.filter(({isLive}) => isLive);
  if (nodes.length <= MAX_FULL_MESH_ENTRIES) {
    return {
      targets: new Map(others.map(({id}) => [id, 'own'])),
      activeRelay: undefined,
      coordinators: rendezvousOrder(COORDINATOR_KEY, idsOf(live)),
      ownRelays: [],
    };
  }
  const relays = relaysByDomain(live);
  const ownRelays = relays.get(self.failureDomain) ?? [];
  const coordinators = activeFirst([...relays.values()]);
  if (!ownRelays.includes(self.id)) {
    return {
      targets: new Map(ownRelays.map(id => [id, 'own'])),
      activeRelay: undefined,
      coordinators,
      ownRelays,
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
    activeRelay: ownRelays[0] === self.id ? undefined : ownRelays[0],
    coordinators,
    ownRelays: [],
  };
}

function relaysByDomain(live: readonly RelayNode[]): Map<string, string[]> {
  const domains = new Set(live.map(({failureDomain}) => failureDomain));
  return new Map(
    [...domains].map(domain => {
      const members = live.filter(node => node.failureDomain === domain);
      const order = groupByCores(members).flatMap(group =>
        rendezvousOrder(`${RELAY_KEY}/${domain}`, idsOf(group)),
      );
      return [domain, order.slice(0, RELAYS_PER_DOMAIN)];
    }),
  );
}

/**
 * Groups of nodes with equal cores, largest first, since a relay carries its
 * whole failure domain.
 */
function groupByCores(nodes: readonly RelayNode[]): RelayNode[][] {
  const coreCounts = new Set(nodes.map(({cores}) => cores));
  return [...coreCounts]
    .sort((a, b) => b - a)
    .map(coreCount => nodes.filter(({cores}) => cores === coreCount));
}

/**
 * Orders active relays before standbys, which send no digests to other failure
 * domains.
 */
function activeFirst(relays: readonly (readonly string[])[]): string[] {
  return Array.from({length: RELAYS_PER_DOMAIN}, (_, relayIndex) =>
    rendezvousOrder(
      COORDINATOR_KEY,
      relays.flatMap(ids => ids.slice(relayIndex, relayIndex + 1)),
    ),
  ).flat();
}

function idsOf(nodes: readonly RelayNode[]): string[] {
  return nodes.map(({id}) => id);
}
