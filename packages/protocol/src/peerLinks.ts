/** The links of one entry: which peers stay connected, and where the others are found. */
import type {Clock, Disposable, Random} from '@skylarkfield/base';
import type {Connection} from './connection.js';
import type {PeerAddress} from './contracts.js';
import {createPeerLink, type PeerLink} from './peerLink.js';

/**
 * When both ends learn of each other at once, the one with the larger id waits
 * this long for the other's connection, in milliseconds.
 */
const SECOND_DIALER_DELAY_MS = 300;

export interface PeerLinks extends Disposable {
  get(id: string): PeerLink | undefined;
  /** The link to a peer, made when there is none. */
  linkTo(address: PeerAddress): PeerLink;
  /** Where a peer is, by its link or the address book. */
  addressOf(id: string): PeerAddress | undefined;
  /** Where a peer is by the address book alone. */
  listedAddress(id: string): PeerAddress | undefined;
  /** Sets the peers that stay connected. */
  setWanted(peers: readonly PeerAddress[]): void;
  /** Sets the peers that are dialled only when something is sent to them. */
  setAddressBook(peers: readonly PeerAddress[]): void;
  dump(): unknown;
}

/**
 * Makes the links of one entry, none at first.
 *
 * @example
 * const links = createPeerLinks({selfId, clock, random, connectionTo, open});
 * links.setWanted(neighbours);
 */
export function createPeerLinks(options: {
  readonly selfId: string;
  readonly clock: Clock;
  readonly random: Random;
  connectionTo(id: string): Connection | undefined;
  /** Starts one dial. */
  open(link: PeerLink): void;
}): PeerLinks {
  const {selfId, clock, random, connectionTo, open} = options;
  const links = new Map<string, PeerLink>();
  let book = new Map<string, PeerAddress>();

  function linkTo(address: PeerAddress): PeerLink {
    const known = links.get(address.id);
    if (known !== undefined) {
      known.address = address;
      return known;
    }
    const link = createPeerLink({address, clock, random, open});
    links.set(address.id, link);
    if (connectionTo(address.id) !== undefined) {
      link.opened();
    }
    return link;
  }

  function want(address: PeerAddress) {
    const link = linkTo(address);
    if (link.isWanted) {
      return;
    }
    link.isWanted = true;
    const delayMs = selfId < address.id ? 0 : SECOND_DIALER_DELAY_MS;
    clock.after(delayMs, () => {
      if (link.isWanted) {
        link.dial();
      }
    });
  }

  function unwant(link: PeerLink) {
    const {id} = link.address;
    link.isWanted = false;
    if (book.has(id)) {
      return;
    }
    link.dispose();
    links.delete(id);
    const connection = connectionTo(id);
    // What the peer dialled is the peer's to close: our views may differ for a moment.
    if (connection?.isOurs) {
      connection.dispose();
    }
  }

  return {
    get: id => links.get(id),
    linkTo,
    addressOf: id => links.get(id)?.address ?? book.get(id),
    listedAddress: id => book.get(id),
    setWanted(peers) {
      const wanted = new Map(peers.map(peer => [peer.id, peer]));
      wanted.delete(selfId);
      for (const link of [...links.values()]) {
        if (!wanted.has(link.address.id)) {
          unwant(link);
        }
      }
      wanted.forEach(want);
    },
    setAddressBook(peers) {
      book = new Map(peers.map(peer => [peer.id, peer]));
      book.delete(selfId);
      for (const link of [...links.values()]) {
        const address = book.get(link.address.id);
        if (address !== undefined) {
          link.address = address;
        } else if (!link.isWanted) {
          unwant(link);
        }
      }
    },
    dump: () =>
      [...links.values()].map(link => ({
        id: link.address.id,
        state: link.state(),
        isWanted: link.isWanted,
      })),
    dispose() {
      links.forEach(link => link.dispose());
      links.clear();
    },
  };
}
