/** One open WebSocket to a peer that has said hello. */
import type {WebSocket, RawData} from 'ws';
import {
  every,
  toDisposable,
  type Clock,
  type Disposable,
} from '@skylarkfield/base';
import type {NetworkLimits} from './limits.js';

/** A peer's connection, from the hello until it closes. */
export interface Connection extends Disposable {
  readonly peer: string;
  readonly incarnation: number;
  /** Whether this process dialled. */
  readonly isOurs: boolean;
  /** False when it is closed or the peer reads too slowly. */
  send(bytes: Buffer): boolean;
  /** Closes because the peer broke the protocol. */
  cut(reason: string): void;
  /** Monotonic milliseconds of the last message either way. */
  usedAt(): number;
}

/** WebSocket close code for a message that breaks the rules. */
const POLICY_VIOLATION = 1008;
const NORMAL_CLOSURE = 1000;
/** Longest reason that a close frame holds, in bytes. */
const REASON_BYTES = 120;

/**
 * Wraps a socket after the hello.
 *
 * @example
 * const connection = wrapSocket({socket, peer, onMessage, onClose, ...rest});
 */
export function wrapSocket(options: {
  readonly socket: WebSocket;
  readonly peer: string;
  readonly incarnation: number;
  readonly isOurs: boolean;
  readonly clock: Clock;
  readonly limits: NetworkLimits;
  onMessage(connection: Connection, bytes: Buffer): void;
  onClose(connection: Connection): void;
  onViolation(connection: Connection, reason: string): void;
}): Connection {
  const {socket, clock, limits} = options;
  let usedAt = clock.now();
  let heardAt = clock.now();
  let checkedAt = clock.now();
  const bucket = createBucket(limits, clock);

  const connection: Connection = {
    peer: options.peer,
    incarnation: options.incarnation,
    isOurs: options.isOurs,
    send(bytes) {
      if (socket.readyState !== socket.OPEN) {
        return false;
      }
      // A peer that does not read would make our memory grow without bound.
      if (socket.bufferedAmount > limits.bufferedBytes) {
        socket.terminate();
        return false;
      }
      usedAt = clock.now();
      socket.send(bytes);
      return true;
    },
    cut(reason) {
      options.onViolation(connection, reason);
      socket.close(POLICY_VIOLATION, reason.slice(0, REASON_BYTES));
      socket.terminate();
    },
    usedAt: () => usedAt,
    dispose() {
      socket.close(NORMAL_CLOSURE);
    },
  };

  function hear(data: RawData, isBinary: boolean) {
    heardAt = clock.now();
    usedAt = heardAt;
    if (!isBinary) {
      connection.cut('text message');
      return;
    }
    if (!bucket.take()) {
      connection.cut('too many messages');
      return;
    }
    options.onMessage(connection, data as Buffer);
  }

  /** Finds a peer that vanished without closing, as after a cut cable. */
  function checkSilence() {
    const now = clock.now();
    // After a pause of this process the silence is ours, not the peer's.
    if (now - checkedAt > 2 * limits.pingMs) {
      heardAt = now;
    }
    checkedAt = now;
    if (now - heardAt > limits.silenceMs) {
      socket.terminate();
      return;
    }
    if (now - heardAt >= limits.pingMs && socket.readyState === socket.OPEN) {
      socket.ping();
    }
  }

  const silenceCheck = every(clock, limits.pingMs, checkSilence);
  const closing = toDisposable(() => {
    silenceCheck.dispose();
    options.onClose(connection);
  });
  socket.on('message', hear);
  socket.on('ping', () => (heardAt = clock.now()));
  socket.on('pong', () => (heardAt = clock.now()));
  socket.on('error', error =>
    // ws reports oversize and malformed frames here and closes by itself.
    options.onViolation(connection, error.message),
  );
  socket.on('close', () => closing.dispose());
  return connection;
}

/** Token bucket over messages, so that a flood costs at most its bound. */
function createBucket(limits: NetworkLimits, clock: Clock) {
  let tokens = limits.messageBurst;
  let filledAt = clock.now();
  return {
    take(): boolean {
      const now = clock.now();
      const gained = ((now - filledAt) / 1000) * limits.messagesPerSecond;
      tokens = Math.min(limits.messageBurst, tokens + gained);
      filledAt = now;
      if (tokens < 1) {
        return false;
      }
      tokens -= 1;
      return true;
    },
  };
}
