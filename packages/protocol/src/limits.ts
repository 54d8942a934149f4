/** Limits on the resources that a faulty or hostile peer can consume. */

export interface NetworkLimits {
  /** Maximum size of a message in either direction, in bytes. */
  readonly maxMessageBytes: number;
  /** Maximum average rate of received messages per connection. */
  readonly messagesPerSecond: number;
  /** Size of the token bucket for message bursts, in messages. */
  readonly messageBurst: number;
  /** Send buffer size above which a slow peer is disconnected, in bytes. */
  readonly maxBufferedBytes: number;
  /** Maximum number of handshakes in progress. */
  readonly maxHandshakes: number;
  /** Time limit for connecting and the hello, in milliseconds. */
  readonly handshakeTimeoutMs: number;
  /** Time without received data after which a ping is sent, in milliseconds. */
  readonly pingIntervalMs: number;
  /** Time without received data before a disconnect, in milliseconds. */
  readonly silenceTimeoutMs: number;
  /** Idle time before an on-demand connection closes, in milliseconds. */
  readonly idleTimeoutMs: number;
}

export const DEFAULT_NETWORK_LIMITS: NetworkLimits = {
  maxMessageBytes: 4 * 1024 * 1024,
  messagesPerSecond: 5_000,
  messageBurst: 20_000,
  maxBufferedBytes: 16 * 1024 * 1024,
  maxHandshakes: 64,
  handshakeTimeoutMs: 3_000,
  pingIntervalMs: 5_000,
  silenceTimeoutMs: 15_000,
  idleTimeoutMs: 60_000,
};
