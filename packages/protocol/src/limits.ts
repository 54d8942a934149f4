/** Limits on the resources that a faulty or hostile peer can consume. */

export interface NetworkLimits {
  /** Maximum size of a message in either direction, in bytes. */
  readonly messageBytes: number;
  /** Maximum average rate of received messages per connection. */
  readonly messagesPerSecond: number;
  /** Size of the token bucket for message bursts, in messages. */
  readonly messageBurst: number;
  /** Send buffer size above which a slow peer is disconnected, in bytes. */
  readonly bufferedBytes: number;
  /** Maximum number of handshakes in progress. */
  readonly handshakes: number;
  /** Time limit for connecting and the hello, in milliseconds. */
  readonly handshakeMs: number;
  /** Time without received data after which a ping is sent, in milliseconds. */
  readonly pingMs: number;
  /** Time without received data before a disconnect, in milliseconds. */
  readonly silenceMs: number;
  /** Idle time before an on-demand connection closes, in milliseconds. */
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
