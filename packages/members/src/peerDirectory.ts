/** Peers that the network connects to: neighbours always, others on demand. */
import type {MemberUpdate, PeerNetwork} from '@skylarkfield/protocol';
import type {KnownMember, MemberTable} from './memberTable.js';
import {neighboursOf} from './neighbours.js';

/** Neighbours and addresses, derived from the known members. */
export interface PeerDirectory {
  neighbours(): readonly string[];
  /** Updates the network's peers and addresses if members have changed. */
  refresh(): void;
  /** Adds the address of a peer that is not in the member table yet. */
  addContact(id: string, url: string): void;
  removeContact(id: string): void;
  /** Members gone without an announcement, possibly only partitioned. */
  lost(): readonly KnownMember[];
}

/**
 * Creates the peer directory of one entry.
 *
 * @example
 * peerDirectory.refresh();
 * network.broadcast('heartbeat', body, peerDirectory.neighbours());
 */
export function createPeerDirectory(options: {
  readonly table: MemberTable;
  readonly network: PeerNetwork;
  localUpdate(): MemberUpdate;
}): PeerDirectory {
  const {table, network} = options;
  const contacts = new Map<string, string>();
  let neighbours: readonly string[] = [];
  let seenRevision = -1;

  function lost(): KnownMember[] {
    return [...table.all()].filter(
      known => known.machine.state() === 'gone' && !known.hasLeft,
    );
  }

  function updateNetwork() {
    const addresses = table.present().map(addressOf);
    const neighbourIds = new Set(neighbours);
    network.setAddressBook([
      ...addresses,
      ...lost().map(addressOf),
      ...[...contacts].map(([id, url]) => ({id, incarnation: 0, url})),
    ]);
    network.setPeers(addresses.filter(({id}) => neighbourIds.has(id)));
  }

  return {
    neighbours: () => neighbours,
    refresh() {
      if (table.revision() === seenRevision) {
        return;
      }
      seenRevision = table.revision();
      const localUpdate = options.localUpdate();
      const members = table.present().map(known => known.update);
      neighbours = neighboursOf(localUpdate.id, [localUpdate, ...members]);
      updateNetwork();
    },
    addContact(id, url) {
      contacts.set(id, url);
      updateNetwork();
    },
    removeContact: id => contacts.delete(id),
    lost,
  };
}

function addressOf(known: KnownMember) {
  const {id, incarnation, innerUrl} = known.update;
  return {id, incarnation, url: innerUrl};
}
