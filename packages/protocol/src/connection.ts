/** Open WebSocket connection to a peer, after the handshake. */
import type {Writable} from 'node:stream';
import type {WebSocket, RawData} from 'ws';
import {
  scheduleRepeatedly,
  toDisposable,
  type Clock,
  type Disposable,
} from '@skylarkfield/base';
import type {NetworkLimits} from './limits.js';

/** Connection to a peer after a successful handshake. */
export interface Connection extends Disposable {
  readonly peer: string;
  readonly incarnation: number;
  /** Whether this process opened the connection. */
  readonly isOutbound: boolean;
  /** Returns false if the connection is closed or its send buffer is full. */
  send(bytes: Buffer): boolean;
  /** Closes the connection because the peer violated the protocol. */
  abort(reason: string): void;
  /** Monotonic time of the last sent or received message, in milliseconds. */
  lastMessageAt(): number;
}

/** Part of a stream that holds written data back to write it at once. */
export type Corkable = Pick<Writable, 'cork' | 'uncork'>;

/** WebSocket close code for a protocol violation. */
const POLICY_VIOLATION = 1008;
const NORMAL_CLOSURE = 1000;
/** Maximum length of the reason in a close frame, in bytes. */
const MAX_REASON_BYTES = 120;

/**
 * Wraps a socket after the handshake.
 *
 * @example
 * const connection = wrapSocket({socket, peer, onMessage, onClose, ...rest});
 */
export function wrapSocket(options: {
  readonly socket: WebSocket;
  /** Stream that carries the socket's frames. */
  readonly stream: Corkable | undefined;
  readonly peer: string;
  readonly incarnation: number;
  readonly isOutbound: boolean;
  readonly clock: Clock;
  readonly limits: NetworkLimits;
  onMessage(connection: Connection, bytes: Buffer): void;
  onClose(connection: Connection): void;
  onViolation(connection: Connection, reason: string): void;
}): Connection {
  const {socket, stream, clock, limits} = options;
  let lastMessageAt = clock.now();
  let lastReceivedAt = clock.now();
  let lastCheckAt = clock.now();
  const tokenBucket = createTokenBucket(limits, clock);
  const corkTurn = createTurnCork(stream);

  const connection: Connection = {
    peer: options.peer,
    incarnation: options.incarnation,
    isOutbound: options.isOutbound,
    send(bytes) {
      if (socket.readyState !== socket.OPEN) {
        return false;
      }
      // A peer that does not read would let the send buffer grow without bound.
      if (socket.bufferedAmount > limits.maxBufferedBytes) {
        socket.terminate();
        return false;
      }
      lastMessageAt = clock.now();
      corkTurn();
      socket.send(bytes);
      return true;
    },
    abort(reason) {
      options.onViolation(connection, reason);
      socket.close(POLICY_VIOLATION, reason.slice(0, MAX_REASON_BYTES));
      socket.terminate();
    },
    lastMessageAt: () => lastMessageAt,
    dispose() {
      socket.close(NORMAL_CLOSURE);
    },
  };

  function handleMessage(data: RawData, isBinary: boolean) {
    lastReceivedAt = clock.now();
    lastMessageAt = lastReceivedAt;
    if (!isBinary) {
      connection.abort('text message');
      return;
    }
    if (!tokenBucket.tryTake()) {
      connection.abort('too many messages');
      return;
    }
    options.onMessage(connection, data as Buffer);
  }

  /**
   * Pings a peer that has sent nothing for `pingIntervalMs`; closes the
   * connection after `silenceTimeoutMs`, as after a cable cut.
   */
  function checkLiveness() {
    const now = clock.now();
    // A late check means that this process was paused, not that the peer was
    // silent.
    if (now - lastCheckAt > 2 * limits.pingIntervalMs) {
      lastReceivedAt = now;
    }
    lastCheckAt = now;
    if (now - lastReceivedAt > limits.silenceTimeoutMs) {
      socket.terminate();
      return;
    }
    if (
      now - lastReceivedAt >= limits.pingIntervalMs &&
      socket.readyState === socket.OPEN
    ) {
      socket.ping();
    }
  }

  const livenessCheck = scheduleRepeatedly(
    clock,
    limits.pingIntervalMs,
    checkLiveness,
  );
  const closeCleanup = toDisposable(() => {
    livenessCheck.dispose();
    options.onClose(connection);
  });
  socket.on('message', handleMessage);
  socket.on('ping', () => (lastReceivedAt = clock.now()));
  socket.on('pong', () => (lastReceivedAt = clock.now()));
  socket.on('error', error =>
    // ws emits an error for an oversized or malformed frame and then closes the
    // socket.
    options.onViolation(connection, error.message),
  );
  socket.on('close', () => closeCleanup.dispose());
  return connection;
}

/**
 * Returns a function to call before sending: it holds the messages of one turn of
 * the event loop back, so that one system call writes all of them.
 */
function createTurnCork(stream: Corkable | undefined): () => void {
  let isCorked = false;
  return () => {
    if (isCorked || stream === undefined) {
      return;
    }
    isCorked = true;
    stream.cork();
    setImmediate(() => {
      isCorked = false;
      stream.uncork();
    });
  };
}

/** Token bucket that limits the rate of received messages. */
function createTokenBucket(limits: NetworkLimits, clock: Clock) {
  let tokens = limits.messageBurst;
  let lastRefillAt = clock.now();
  return {
    tryTake(): boolean {
      const now = clock.now();
      const refill = ((now - lastRefillAt) / 1000) * limits.messagesPerSecond;
      tokens = Math.min(limits.messageBurst, tokens + refill);
      lastRefillAt = now;
      if (tokens < 1) {
        return false;
      }
      tokens -= 1;
      return true;
    },
  };
}
