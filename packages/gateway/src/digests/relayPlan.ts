/**
 * Topology of the digest exchange: a full mesh in small fleets, relays in large
 * fleets.
 *
 * The cost of a full mesh grows with the square of the number of entries. Above
 * `MAX_FULL_MESH_ENTRIES`, an entry sends its digests to the two relays of its
 * failure domain; relays aggregate the digests and exchange the sums.
 */
import {rendezvousOrder} from '@skylarkfield/base';

/** Part of the fleet that a digest covers. */
export type DigestScope =
  /** The sender alone. */
  | 'own'
  /** All entries of the sender's failure domain. */
  | 'domain'
  /** All entries except the receiver. */
  | 'rest';

/** The properties of an entry that the relay plan depends on. */
export interface RelayNode {
  readonly id: string;
  readonly failureDomain: string;
  /** False while draining; the entry then exchanges digests but is no relay. */
  readonly isLive: boolean;
  /** Available processor cores. */
  readonly cores: number;
}

export interface RelayPlan {
  /**
   * Ids of the receivers of this entry's digests, with the scope of the digests
   * for each.
   */
  readonly targets: ReadonlyMap<string, DigestScope>;
  /**
   * Id of the active relay of this entry's failure domain; undefined unless
   * this entry is the standby relay.
   */
  readonly activeRelayId: string | undefined;
  /**
   * Ids of the entries that may read the platform and hold leases, in order.
   */
  readonly coordinatorIds: readonly string[];
  /**
   * The coordinators in groups; those of the first group receive the reports of
   * all entries in time.
   */
  readonly coordinatorGroups: readonly (readonly string[])[];
  /**
   * Ids of the relays that this entry sends its digests to, active relay first;
   * empty in a full mesh and for relays.
   */
  readonly relayIds: readonly string[];
}

/** Largest fleet that uses a full mesh. */
export const MAX_FULL_MESH_ENTRIES = 24;

/** One active and one standby relay for each failure domain. */
const RELAYS_PER_DOMAIN = 2;

/**
 * Hash keys for ranking relays and coordinators. They differ so that the two
 * rankings start with different entries.
 */
const RELAY_KEY = 'relay';
const COORDINATOR_KEY = 'platform-reader';

/**
 * Returns the relay plan of one entry. Plans that the entries compute from the
 * same nodes agree.
 *
 * @example
 * const {targets} = planRelays({id: 'a1', failureDomain: 'a', isLive: true,
 *   cores: 1}, nodes);
 */
export function planRelays(
  self: RelayNode,
  nodes: readonly RelayNode[],
): RelayPlan {
  const otherNodes = nodes.filter(({id}) => id !== self.id);
  const liveNodes = nodes.filter(({isLive}) => isLive);
  if (nodes.length <= MAX_FULL_MESH_ENTRIES) {
    const coordinatorIds = rendezvousOrder(COORDINATOR_KEY, idsOf(liveNodes));
    return {
      targets: new Map(otherNodes.map(({id}) => [id, 'own'])),
      activeRelayId: undefined,
      coordinatorIds,
      coordinatorGroups: [coordinatorIds],
      relayIds: [],
    };
  }
  const relayIdsByDomain = relaysByDomain(liveNodes);
  const relayIds = relayIdsByDomain.get(self.failureDomain) ?? [];
  const coordinatorGroups = groupCoordinators([...relayIdsByDomain.values()]);
  const coordinatorIds = coordinatorGroups.flat();
  if (!relayIds.includes(self.id)) {
    return {
      targets: new Map(relayIds.map(id => [id, 'own'])),
      activeRelayId: undefined,
      coordinatorIds,
      coordinatorGroups,
      relayIds,
    };
  }
  const targets = new Map<string, DigestScope>();
  for (const {id, failureDomain} of otherNodes) {
    if (failureDomain === self.failureDomain) {
      targets.set(id, relayIds.includes(id) ? 'own' : 'rest');
    } else if (relayIdsByDomain.get(failureDomain)?.includes(id)) {
      targets.set(id, 'domain');
    }
  }
  return {
    targets,
    activeRelayId: relayIds[0] === self.id ? undefined : relayIds[0],
    coordinatorIds,
    coordinatorGroups,
    relayIds: [],
  };
}

function relaysByDomain(
  liveNodes: readonly RelayNode[],
): Map<string, string[]> {
  const domains = new Set(liveNodes.map(({failureDomain}) => failureDomain));
  return new Map(
    [...domains].map(domain => {
      const members = liveNodes.filter(node => node.failureDomain === domain);
      const rankedIds = groupByCores(members).flatMap(group =>
        rendezvousOrder(`${RELAY_KEY}/${domain}`, idsOf(group)),
      );
      return [domain, rankedIds.slice(0, RELAYS_PER_DOMAIN)];
    }),
  );
}

/**
 * Groups nodes with equal cores, most cores first: a relay processes the
 * digests of its whole failure domain.
 */
function groupByCores(nodes: readonly RelayNode[]): RelayNode[][] {
  const coreCounts = new Set(nodes.map(({cores}) => cores));
  return [...coreCounts]
    .sort((a, b) => b - a)
    .map(coreCount => nodes.filter(({cores}) => cores === coreCount));
}

/**
 * Groups coordinators: active relays before standby relays, which send no
 * digests to other failure domains and receive fewer.
 */
function groupCoordinators(
  relayIdsByDomain: readonly (readonly string[])[],
): string[][] {
  return Array.from({length: RELAYS_PER_DOMAIN}, (_, relayIndex) =>
    rendezvousOrder(
      COORDINATOR_KEY,
      relayIdsByDomain.flatMap(ids => ids.slice(relayIndex, relayIndex + 1)),
    ),
  );
}

function idsOf(nodes: readonly RelayNode[]): string[] {
  return nodes.map(({id}) => id);
}
