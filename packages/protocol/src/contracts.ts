/**
 * The inner protocol between entries: message types with their bodies, and the
 * network that carries them over WebSockets, encoded with msgpackr.
 *
 * Compatibility: two adjacent releases run side by side during a rolling
 * restart. A body may gain optional fields; a field is never renamed or
 * reused, and an unknown message type is counted and ignored.
 */
import type {Disposable} from '@skylarkfield/base';
import type {MemberMessages} from './messages/memberMessages.js';
import type {RecordMessages} from './messages/recordMessages.js';
import type {OrderMessages} from './messages/orderMessages.js';
import type {MoveMessages} from './messages/moveMessages.js';
import type {EndpointMessages} from './messages/endpointMessages.js';
import type {GatewayMessages} from './messages/gatewayMessages.js';
import type {SchedulingMessages} from './messages/schedulingMessages.js';

/** Incremented when a release changes the meaning of a message. */
export const PROTOCOL_VERSION = 1;

/** Message types and their bodies. */
export interface Messages
  extends MemberMessages,
    RecordMessages,
    OrderMessages,
    MoveMessages,
    EndpointMessages,
    GatewayMessages,
    SchedulingMessages {}

export type MessageType = keyof Messages & string;

/** Address of a peer entry. */
export interface PeerAddress {
  readonly id: string;
  /** Increases with each start of the process, but not after a pause. */
  readonly incarnation: number;
  /** `ws://` or `wss://` URL of the peer's inner port. */
  readonly url: string;
}

/** Counters of a process's messages to and from its peers. */
export interface NetworkTraffic {
  readonly messagesSent: number;
  readonly bytesSent: number;
  readonly messagesReceived: number;
  readonly bytesReceived: number;
  /** Number of malformed or unexpected messages and rejected connections. */
  readonly rejected: number;
}

/** One-way messages and requests between this entry and its peers. */
export interface PeerNetwork extends Disposable {
  /**
   * Sets the peers to stay connected to; closes the connections to peers that
   * are neither in this list nor in the address book.
   */
  setPeers(peers: readonly PeerAddress[]): void;
  /**
   * Sets the peers to connect to only on demand. With many entries, `setPeers`
   * gets the few neighbours and `setAddressBook` gets all entries.
   */
  setAddressBook(peers: readonly PeerAddress[]): void;
  /**
   * Connects to a peer of unknown id, for joining through a seed; resolves with
   * the peer's id. Throws `interrupted` when no valid peer answers.
   */
  dial(url: string): Promise<string>;
  /** Ids of the peers with an open connection. */
  connectedPeers(): readonly string[];
  /**
   * Sends a one-way message. Returns false if no connection to the peer is open
   * or its send buffer is full. Without a connection, also starts to connect if
   * the peer is in the address book.
   */
  send<T extends MessageType>(
    peerId: string,
    type: T,
    body: Messages[T],
  ): boolean;
  /**
   * Sends a one-way message to the peers in `peerIds`, by default to every
   * connected peer; returns the number of peers that it was sent to. With many
   * entries only the neighbours are connected, and each receiver forwards new
   * information once.
   */
  broadcast<T extends MessageType>(
    type: T,
    body: Messages[T],
    peerIds?: readonly string[],
  ): number;
  /**
   * Sends a request and returns the response body. First connects to the peer
   * if it is in the address book. Throws `protocol-violation`,
   * `deadline-exceeded` (`may-have-run`), `interrupted` (`not-run` if nothing
   * was sent), `cancelled`, or the kind and run state thrown by the peer's
   * handler.
   */
  request<T extends MessageType>(
    peerId: string,
    type: T,
    body: Messages[T],
    timeoutMs: number,
  ): Promise<unknown>;
  /**
   * Handles messages of a type; the result of the handler is the response to a
   * `request`.
   */
  addHandler<T extends MessageType>(
    type: T,
    handler: (senderId: string, body: Messages[T]) => unknown,
  ): Disposable;
  /** Fires when a peer's connection opens or closes. */
  onDidChangePeer(
    listener: (peer: string, isOpen: boolean) => void,
  ): Disposable;
  /**
   * Fires when a new connection of a peer replaces an open one, for which
   * `onDidChangePeer` does not fire. Messages sent over the previous connection
   * may be lost.
   */
  onDidReplaceConnection(listener: (peer: string) => void): Disposable;
  traffic(): NetworkTraffic;
}
