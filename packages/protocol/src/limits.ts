/** Bounds that keep a faulty or hostile peer from costing this process much. */

export interface NetworkLimits {
  /** Largest message in bytes, both ways. */
  readonly messageBytes: number;
  /** Messages a second that one connection may carry on average. */
  readonly messagesPerSecond: number;
  /** Messages it may carry at once above that. */
  readonly messageBurst: number;
  /** Bytes that may wait for a slow peer before its connection is cut. */
  readonly bufferedBytes: number;
  /** Connections that have not yet said who they are. */
  readonly handshakes: number;
  /** Time for connecting and saying hello, in milliseconds. */
  readonly handshakeMs: number;
  /** Silence after which a ping is sent, in milliseconds. */
  readonly pingMs: number;
  /** Silence after which a connection counts as dead, in milliseconds. */
  readonly silenceMs: number;
  /** Time after which an unused connection to a non-neighbour is closed, in milliseconds. */
  readonly idleMs: number;
}

export const DEFAULT_LIMITS: NetworkLimits = {
  messageBytes: 4 * 1024 * 1024,
  messagesPerSecond: 5_000,
  messageBurst: 20_000,
  bufferedBytes: 16 * 1024 * 1024,
  handshakes: 64,
  handshakeMs: 3_000,
  pingMs: 5_000,
  silenceMs: 15_000,
  idleMs: 60_000,
};
