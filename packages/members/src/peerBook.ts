/** Whom the network connects to: neighbours always, all others when needed. */
import type {MemberNews, PeerNetwork} from '@skylarkfield/protocol';
import type {KnownMember, MemberTable} from './memberTable.js';
import {neighboursOf} from './neighbours.js';

export interface PeerBook {
  neighbours(): readonly string[];
  /** Brings the network up to date when members have changed. */
  refresh(): void;
  /** Makes an address usable that no member is known for yet. */
  addContact(id: string, url: string): void;
  removeContact(id: string): void;
  /** Members gone without a goodbye: they may only be cut off. */
  lost(): readonly KnownMember[];
}

/**
 * Makes the book of one entry.
 *
 * @example
 * book.refresh();
 * network.broadcast('heartbeat', body, book.neighbours());
 */
export function createPeerBook(options: {
  readonly table: MemberTable;
  readonly network: PeerNetwork;
  own(): MemberNews;
}): PeerBook {
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
    const chosen = new Set(neighbours);
    network.setAddressBook([
      ...addresses,
      ...lost().map(addressOf),
      ...[...contacts].map(([id, url]) => ({id, incarnation: 0, url})),
    ]);
    network.setPeers(addresses.filter(({id}) => chosen.has(id)));
  }

  return {
    neighbours: () => neighbours,
    refresh() {
      if (table.revision() === seenRevision) {
        return;
      }
      seenRevision = table.revision();
      const own = options.own();
      const nodes = table.present().map(known => known.news);
      neighbours = neighboursOf(own.id, [own, ...nodes]);
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
  const {id, incarnation, innerUrl} = known.news;
  return {id, incarnation, url: innerUrl};
}
