/**
 * The inner protocol between entries: every message type with its body, and
 * the network that carries them. Connections are WebSockets, bodies msgpackr.
 *
 * Compatibility: two adjacent releases run side by side during a rolling
 * restart. A body may gain optional fields; a field is never renamed or
 * re-used, and an unknown message type is counted and ignored.
 */
import type {Disposable} from '@skylarkfield/base';
import type {MemberMessages} from './messages/memberMessages.js';
import type {RecordMessages} from './messages/recordMessages.js';
import type {OrderMessages} from './messages/orderMessages.js';
import type {MoveMessages} from './messages/moveMessages.js';
import type {EndpointMessages} from './messages/endpointMessages.js';
import type {GatewayMessages} from './messages/gatewayMessages.js';

/** Raised when a release changes what a message means. */
export const PROTOCOL_VERSION = 1;

/** Every message type and its body. */
export interface Messages
  extends MemberMessages,
    RecordMessages,
    OrderMessages,
    MoveMessages,
    EndpointMessages,
    GatewayMessages {}

export type MessageType = keyof Messages & string;

/** Where a peer entry is reached. */
export interface PeerAddress {
  readonly id: string;
  /** Rises with each start of the process, so that a restart is told from a pause. */
  readonly incarnation: number;
  /** `ws://` or `wss://` address of its inner port. */
  readonly url: string;
}

/** Counters of one process's inner traffic, for the dump and the slopes. */
export interface NetworkTraffic {
  readonly messagesSent: number;
  readonly bytesSent: number;
  readonly messagesReceived: number;
  readonly bytesReceived: number;
  /** Messages dropped because they could not be read or their type is unknown. */
  readonly rejected: number;
}

/** Messages and questions between this entry and its peers. */
export interface PeerNetwork extends Disposable {
  /** The peers to stay connected to; others are closed. */
  setPeers(peers: readonly PeerAddress[]): void;
  /**
   * Peers that are connected to only when something is sent to them: with many
   * entries, `setPeers` names the few neighbours and this names all.
   */
  setAddressBook(peers: readonly PeerAddress[]): void;
  /**
   * Connects to an address whose id is not known, for joining through a seed;
   * resolves with the id. Throws `interrupted` when nobody fit answers.
   */
  dial(url: string): Promise<string>;
  /** Ids with an open connection now. */
  connected(): readonly string[];
  /** Sends without waiting; false when there is no open connection. */
  send<T extends MessageType>(to: string, type: T, body: Messages[T]): boolean;
  /**
   * Sends to every connected peer, or to those given; returns how many. With
   * many entries the connected ones are the neighbours: who hears news passes
   * it on once.
   */
  broadcast<T extends MessageType>(
    type: T,
    body: Messages[T],
    to?: readonly string[],
  ): number;
  /**
   * Sends a message and waits for the answering body; connects first to a peer
   * of the address book. Throws `protocol-violation`, `deadline-exceeded` (may
   * have run), `interrupted` (`not-run` when nothing was sent), `cancelled`, or
   * the kind and run state that the peer's handler threw.
   */
  ask<T extends MessageType>(
    to: string,
    type: T,
    body: Messages[T],
    timeoutMs: number,
  ): Promise<unknown>;
  /** Handles messages of a type; what the handler returns answers an `ask`. */
  onDidReceive<T extends MessageType>(
    type: T,
    handler: (from: string, body: Messages[T]) => unknown,
  ): Disposable;
  /** Fires when a peer's connection opens or closes. */
  onDidChangePeer(
    listener: (peer: string, isOpen: boolean) => void,
  ): Disposable;
  traffic(): NetworkTraffic;
}
