/**
 * Peer addresses for the network, which stays connected to neighbours and
 * connects to other members on demand.
 */
import type {MemberUpdate, PeerNetwork} from '@skylarkfield/protocol';
import type {KnownMember, MemberTable} from './memberTable.js';
import {neighbourIdsOf} from './neighbours.js';

/** Neighbours and peer addresses, derived from the member table. */
export interface PeerDirectory {
  /** Ids of the members that this entry exchanges heartbeats with. */
  neighbourIds(): readonly string[];
  /**
   * Updates the network's peers and addresses if the member table has changed.
   */
  refresh(): void;
  /** Adds the address of a peer that is not in the member table yet. */
  addContact(id: string, url: string): void;
  /** Removes an address added by `addContact`. */
  removeContact(id: string): void;
  /**
   * Members that are gone without having announced that they leave; they may be
   * alive behind a network partition.
   */
  lostMembers(): readonly KnownMember[];
}

/**
 * Creates the peer directory of one entry.
 *
 * @example
 * peerDirectory.refresh();
 * network.broadcast('heartbeat', body, peerDirectory.neighbourIds());
 */
export function createPeerDirectory(options: {
  readonly table: MemberTable;
  readonly network: PeerNetwork;
  localUpdate(): MemberUpdate;
}): PeerDirectory {
  const {table, network} = options;
  /** Inner URLs of peers added by `addContact`, by member id. */
  const contactUrls = new Map<string, string>();
  let neighbourIds: readonly string[] = [];
  let lastRevision = -1;

  function lostMembers(): KnownMember[] {
    return [...table.all()].filter(
      knownMember =>
        knownMember.machine.state() === 'gone' && !knownMember.hasLeft,
    );
  }

  function updateNetwork() {
    const addresses = table.presentMembers().map(addressOf);
    const neighbourIdSet = new Set(neighbourIds);
    network.setAddressBook([
      ...addresses,
      ...lostMembers().map(addressOf),
      ...[...contactUrls].map(([id, url]) => ({id, incarnation: 0, url})),
    ]);
    network.setPeers(addresses.filter(({id}) => neighbourIdSet.has(id)));
  }

  return {
    neighbourIds: () => neighbourIds,
    refresh() {
      if (table.revision() === lastRevision) {
        return;
      }
      lastRevision = table.revision();
      const localUpdate = options.localUpdate();
      const members = table
        .presentMembers()
        .map(knownMember => knownMember.update);
      neighbourIds = neighbourIdsOf(localUpdate.id, [localUpdate, ...members]);
      updateNetwork();
    },
    addContact(id, url) {
      contactUrls.set(id, url);
      updateNetwork();
    },
    removeContact: id => contactUrls.delete(id),
    lostMembers,
  };
}

function addressOf(knownMember: KnownMember) {
  const {id, incarnation, innerUrl} = knownMember.update;
  return {id, incarnation, url: innerUrl};
}
