/** Simulated entries that may own quotas. */
import {rendezvousOrder} from '@skylarkfield/base';

/** Largest fleet in which all entries are candidates. */
const MAX_FULL_MESH_ENTRIES = 24;
const DOMAIN_COUNT = 3;
const RELAYS_PER_DOMAIN = 2;

/**
 * Groups the entries that may own quotas: all in a small fleet, active relays
 * before standby relays in a large one.
 *
 * @example
 * const groups = groupCoordinators(liveEntries, 58);
 */
export function groupCoordinators<
  Node extends {readonly id: string; readonly index: number},
>(live: readonly Node[], entryCount: number): Node[][] {
  if (entryCount <= MAX_FULL_MESH_ENTRIES) {
    return [[...live]];
  }
  const byId = new Map(live.map(node => [node.id, node]));
  const domains = Array.from({length: DOMAIN_COUNT}, (_, domain) =>
    rendezvousOrder(
      `relay/${domain}`,
      live
        .filter(({index}) => index % DOMAIN_COUNT === domain)
        .map(({id}) => id),
    ),
  );
  return Array.from({length: RELAYS_PER_DOMAIN}, (_, position) =>
    domains.flatMap(ids =>
      ids.slice(position, position + 1).map(id => byId.get(id)!),
    ),
  );
}
