/** Sockets whose peer has not yet said hello, and what is asked of its hello. */
import type {WebSocket} from 'ws';
import type {Clock, Disposable, Logger} from '@skylarkfield/base';
import {HELLO, decodeFrame, encodeFrame} from './codec.js';
import type {Connection} from './connection.js';
import {PROTOCOL_VERSION} from './contracts.js';
import {isSameKey, readHello, type Hello} from './hello.js';

/** Takes the connection, or undefined when the socket closed before the hello. */
type HandshakeDone = (connection: Connection | undefined) => void;

/** Which side this process is, and whom it expects on the other. */
interface HandshakeRole {
  /** Whether this process dialled. */
  readonly isOurs: boolean;
  /** Undefined where any peer will do. */
  readonly expected: string | undefined;
}

export interface Handshakes extends Disposable {
  /** Greets the peer behind a socket that this process opened. */
  dial(
    socket: WebSocket,
    expected: string | undefined,
    onDone: HandshakeDone,
  ): void;
  /** Waits for the hello on a socket that the peer opened. */
  accept(socket: WebSocket): void;
  /** Handshakes under way. */
  count(): number;
}

/**
 * Makes the handshakes of one entry.
 *
 * @example
 * const handshakes = createHandshakes({self, key, clock, log, ...rest});
 * handshakes.dial(socket, 'b', connection => use(connection));
 */
export function createHandshakes(options: {
  readonly self: {readonly id: string; readonly incarnation: number};
  /** Secret that all entries share. */
  readonly key: string;
  readonly clock: Clock;
  readonly log: Logger;
  /** Time for connecting and saying hello, in milliseconds. */
  readonly timeoutMs: number;
  /** Takes a socket into use after the hello. */
  adopt(socket: WebSocket, peer: Hello, isOurs: boolean): Connection;
  /** Counts a peer that was refused. */
  onRefusal(): void;
}): Handshakes {
  const {self, key, clock, log, timeoutMs} = options;
  const waiting = new Set<WebSocket>();

  function ownHello(withKey: boolean): Buffer {
    const {id, incarnation} = self;
    const body: Hello = {
      id,
      incarnation,
      protocolVersion: PROTOCOL_VERSION,
      ...(withKey ? {key} : {}),
    };
    return encodeFrame({type: HELLO, ask: 0, body});
  }

  function refuse(socket: WebSocket, reason: string) {
    options.onRefusal();
    log.warn({reason}, 'refused a peer');
    socket.terminate();
  }

  /** Why a peer is refused, or undefined. */
  function objection(given: Hello, role: HandshakeRole): string | undefined {
    const {isOurs, expected} = role;
    if (isOurs && !isSameKey(given.key ?? '', key)) {
      return 'the accepting side has another key';
    }
    if (given.id === self.id) {
      return 'the peer has the id of this entry';
    }
    // An address may have been given to another entry since we learnt it.
    if (expected !== undefined && given.id !== expected) {
      return `expected ${expected}, found ${given.id}`;
    }
    return undefined;
  }

  /** Waits for the other side's hello, then takes the socket into use. */
  function start(
    socket: WebSocket,
    role: HandshakeRole,
    onDone: HandshakeDone,
  ) {
    const {isOurs, expected} = role;
    waiting.add(socket);
    const timer = clock.after(timeoutMs, () =>
      refuse(socket, 'no hello in time'),
    );
    function finish(connection: Connection | undefined) {
      if (!waiting.delete(socket)) {
        return;
      }
      timer.dispose();
      onDone(connection);
    }
    socket.on('error', error =>
      log.debug({peer: expected, reason: error.message}, 'no connection'),
    );
    socket.on('close', () => finish(undefined));
    socket.once('message', (data, isBinary) => {
      const given = isBinary ? parseHello(data as Buffer) : 'text message';
      if (typeof given === 'string') {
        refuse(socket, given);
        return;
      }
      const reason = objection(given, role);
      if (reason !== undefined) {
        refuse(socket, reason);
        return;
      }
      if (!isOurs) {
        socket.send(ownHello(true));
      }
      finish(options.adopt(socket, given, isOurs));
    });
  }

  return {
    dial(socket, expected, onDone) {
      socket.once('open', () => socket.send(ownHello(false)));
      start(socket, {isOurs: true, expected}, onDone);
    },
    accept: socket =>
      start(socket, {isOurs: false, expected: undefined}, () => {}),
    count: () => waiting.size,
    dispose: () => waiting.forEach(socket => socket.terminate()),
  };
}

/** Reads the first frame; a text says what is wrong with it. */
function parseHello(bytes: Buffer): Hello | string {
  try {
    const frame = decodeFrame(bytes);
    return frame.type === HELLO ? readHello(frame.body) : 'no hello';
  } catch {
    return 'unreadable hello';
  }
}
