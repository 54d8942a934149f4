/** Handshakes: exchange and validation of the hello on new sockets. */
import type {WebSocket} from 'ws';
import type {Clock, Disposable, Logger} from '@skylarkfield/base';
import {HELLO_FRAME, decodeFrame, encodeFrame} from './codec.js';
import type {Connection, Corkable} from './connection.js';
import {PROTOCOL_VERSION} from './contracts.js';
import {isSameKey, parseHello, type Hello} from './hello.js';

/** Called with the connection, or with undefined if the handshake failed. */
type HandshakeCallback = (connection: Connection | undefined) => void;

/** Side of this process in a handshake and the id expected of the peer. */
interface HandshakeRole {
  /** Whether this process opened the socket. */
  readonly isOutbound: boolean;
  /** Id that the peer must have; undefined to accept any id. */
  readonly expectedId: string | undefined;
  /** Returns the stream that carries the socket's frames. */
  stream(): Corkable | undefined;
}

/** Runs the inbound and outbound handshakes of one entry. */
export interface Handshakes extends Disposable {
  /** Starts the handshake on a socket that this process opened. */
  dial(
    socket: WebSocket,
    expectedId: string | undefined,
    onDone: HandshakeCallback,
  ): void;
  /** Starts the handshake on a socket that the peer opened. */
  accept(socket: WebSocket, stream: Corkable): void;
  /** Number of handshakes in progress. */
  count(): number;
}

/**
 * Creates the object that runs the handshakes of one entry.
 *
 * @example
 * const handshakes = createHandshakes({self, key, clock, log, ...rest});
 * handshakes.dial(socket, 'b', connection => use(connection));
 */
export function createHandshakes(options: {
  readonly self: {readonly id: string; readonly incarnation: number};
  /** Secret shared by all entries. */
  readonly key: string;
  readonly clock: Clock;
  readonly log: Logger;
  /** Time limit for connecting and the hello, in milliseconds. */
  readonly timeoutMs: number;
  /** Creates and registers the connection of a socket after a valid hello. */
  addConnection(
    socket: WebSocket,
    stream: Corkable | undefined,
    peer: Hello,
    isOutbound: boolean,
  ): Connection;
  /** Called for each rejected peer. */
  onReject(): void;
}): Handshakes {
  const {self, key, clock, log, timeoutMs} = options;
  const pendingSockets = new Set<WebSocket>();

  function encodeOwnHello(includeKey: boolean): Buffer {
    const {id, incarnation} = self;
    const body: Hello = {
      id,
      incarnation,
      protocolVersion: PROTOCOL_VERSION,
      ...(includeKey ? {key} : {}),
    };
    return encodeFrame({type: HELLO_FRAME, requestId: 0, body});
  }

  function reject(socket: WebSocket, reason: string) {
    options.onReject();
    log.warn({reason}, 'rejected a peer during the handshake');
    socket.terminate();
  }

  /** Returns why a peer is rejected, or undefined if it is accepted. */
  function rejectionReason(
    hello: Hello,
    role: HandshakeRole,
  ): string | undefined {
    const {isOutbound, expectedId} = role;
    if (isOutbound && !isSameKey(hello.key ?? '', key)) {
      return 'the accepting side sent a different key';
    }
    if (hello.id === self.id) {
      return 'the peer has the id of this entry';
    }
    // The peer's address may have been reassigned to another entry.
    if (expectedId !== undefined && hello.id !== expectedId) {
      return `expected peer ${expectedId}, found ${hello.id}`;
    }
    return undefined;
  }

  /** Waits for the peer's hello and validates it. */
  function runHandshake(
    socket: WebSocket,
    role: HandshakeRole,
    onDone: HandshakeCallback,
  ) {
    const {isOutbound, expectedId} = role;
    pendingSockets.add(socket);
    const timer = clock.after(timeoutMs, () =>
      reject(socket, 'no hello before the timeout'),
    );
    function finish(connection: Connection | undefined) {
      if (!pendingSockets.delete(socket)) {
        return;
      }
      timer.dispose();
      onDone(connection);
    }
    socket.on('error', error =>
      log.debug({peer: expectedId, reason: error.message}, 'connection failed'),
    );
    socket.on('close', () => finish(undefined));
    socket.once('message', (data, isBinary) => {
      const hello = isBinary ? parseHelloFrame(data as Buffer) : 'text message';
      if (typeof hello === 'string') {
        reject(socket, hello);
        return;
      }
      const reason = rejectionReason(hello, role);
      if (reason !== undefined) {
        reject(socket, reason);
        return;
      }
      if (!isOutbound) {
        socket.send(encodeOwnHello(true));
      }
      finish(options.addConnection(socket, role.stream(), hello, isOutbound));
    });
  }

  return {
    dial(socket, expectedId, onDone) {
      let stream: Corkable | undefined;
      socket.once('upgrade', response => (stream = response.socket));
      socket.once('open', () => socket.send(encodeOwnHello(false)));
      runHandshake(
        socket,
        {isOutbound: true, expectedId, stream: () => stream},
        onDone,
      );
    },
    accept: (socket, stream) =>
      runHandshake(
        socket,
        {isOutbound: false, expectedId: undefined, stream: () => stream},
        () => {},
      ),
    count: () => pendingSockets.size,
    dispose: () => pendingSockets.forEach(socket => socket.terminate()),
  };
}

/** Parses the first frame; returns an error message if it is invalid. */
function parseHelloFrame(bytes: Buffer): Hello | string {
  try {
    const frame = decodeFrame(bytes);
    return frame.type === HELLO_FRAME
      ? parseHello(frame.body)
      : 'first frame is not a hello';
  } catch {
    return 'malformed hello';
  }
}
