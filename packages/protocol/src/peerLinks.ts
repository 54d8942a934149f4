/** Links of one entry to its peers, and the address book of the other peers. */
import type {Clock, Disposable, Random} from '@skylarkfield/base';
import type {Connection} from './connection.js';
import type {PeerAddress} from './contracts.js';
import {createPeerLink, type PeerLink} from './peerLink.js';

/**
 * Delay, in milliseconds, before the peer with the larger id dials, so that two
 * peers that discover each other at the same time do not both dial.
 */
const SECOND_DIALER_DELAY_MS = 300;

/** Links by peer id, and an address book that also covers other peers. */
export interface PeerLinks extends Disposable {
  get(id: string): PeerLink | undefined;
  /** Returns the link to a peer; creates it if there is none. */
  getOrCreate(address: PeerAddress): PeerLink;
  /** Address of a peer from its link or the address book. */
  addressOf(id: string): PeerAddress | undefined;
  /** Address of a peer from the address book alone. */
  addressFromBook(id: string): PeerAddress | undefined;
  /** Sets the peers to stay connected to. */
  setPersistentPeers(peers: readonly PeerAddress[]): void;
  /** Sets the addresses of the peers that may be dialed on demand. */
  setAddressBook(peers: readonly PeerAddress[]): void;
  dump(): unknown;
}

/**
 * Creates an empty set of links of one entry.
 *
 * @example
 * const links = createPeerLinks({selfId, clock, random, connectionTo, startDial});
 * links.setPersistentPeers(neighbours);
 */
export function createPeerLinks(options: {
  readonly selfId: string;
  readonly clock: Clock;
  readonly random: Random;
  connectionTo(id: string): Connection | undefined;
  /** Starts one connection attempt. */
  startDial(link: PeerLink): void;
}): PeerLinks {
  const {selfId, clock, random, connectionTo, startDial} = options;
  const links = new Map<string, PeerLink>();
  let addressBook = new Map<string, PeerAddress>();

  function getOrCreate(address: PeerAddress): PeerLink {
    const existingLink = links.get(address.id);
    if (existingLink !== undefined) {
      existingLink.address = address;
      return existingLink;
    }
    const link = createPeerLink({address, clock, random, startDial});
    links.set(address.id, link);
    if (connectionTo(address.id) !== undefined) {
      link.handleOpened();
    }
    return link;
  }

  function keepConnected(address: PeerAddress) {
    const link = getOrCreate(address);
    if (link.isPersistent) {
      return;
    }
    link.isPersistent = true;
    const delayMs = selfId < address.id ? 0 : SECOND_DIALER_DELAY_MS;
    clock.after(delayMs, () => {
      if (link.isPersistent) {
        link.dial();
      }
    });
  }

  function releaseLink(link: PeerLink) {
    const {id} = link.address;
    link.isPersistent = false;
    if (addressBook.has(id)) {
      return;
    }
    link.dispose();
    links.delete(id);
    const connection = connectionTo(id);
    // Closes only outbound connections: the peer may still need an inbound one.
    if (connection?.isOutbound) {
      connection.dispose();
    }
  }

  return {
    get: id => links.get(id),
    getOrCreate,
    addressOf: id => links.get(id)?.address ?? addressBook.get(id),
    addressFromBook: id => addressBook.get(id),
    setPersistentPeers(peers) {
      const persistentPeers = new Map(peers.map(peer => [peer.id, peer]));
      persistentPeers.delete(selfId);
      for (const link of [...links.values()]) {
        if (!persistentPeers.has(link.address.id)) {
          releaseLink(link);
        }
      }
      persistentPeers.forEach(keepConnected);
    },
    setAddressBook(peers) {
      addressBook = new Map(peers.map(peer => [peer.id, peer]));
      addressBook.delete(selfId);
      for (const link of [...links.values()]) {
        const address = addressBook.get(link.address.id);
        if (address !== undefined) {
          link.address = address;
        } else if (!link.isPersistent) {
          releaseLink(link);
        }
      }
    },
    dump: () =>
      [...links.values()].map(link => ({
        id: link.address.id,
        state: link.state(),
        isWanted: link.isPersistent,
      })),
    dispose() {
      links.forEach(link => link.dispose());
      links.clear();
    },
  };
}
