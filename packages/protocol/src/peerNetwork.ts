/** The network between entries over WebSockets. */
import {WebSocket} from 'ws';
import {
  disposableStore,
  emitter,
  every,
  type Clock,
  type Logger,
  type Random,
} from '@skylarkfield/base';
import {HELLO, decodeFrame, encodeFrame} from './codec.js';
import {wrapSocket, type Connection} from './connection.js';
import {
  PROTOCOL_VERSION,
  type PeerAddress,
  type PeerNetwork,
} from './contracts.js';
import {createDispatcher, notConnectedError} from './dispatcher.js';
import {isSameKey, readHello, type Hello} from './handshake.js';
import {PEER_PATH, listenForPeers} from './innerListener.js';
import type {RenewedTls} from './innerTls.js';
import {DEFAULT_LIMITS, type NetworkLimits} from './limits.js';
import {createPeerLink, type PeerLink} from './peerLink.js';

/** A network that can take connections, and shows its state. */
export interface ListeningNetwork extends PeerNetwork {
  /** Opens the inner port; port 0 takes any free one. */
  listen(address: {
    readonly host: string;
    readonly port: number;
  }): Promise<{readonly port: number}>;
  dump(): unknown;
}

/**
 * When both ends learn of each other at once, the one with the larger id waits
 * this long for the other's connection, in milliseconds.
 */
const SECOND_DIALER_DELAY_MS = 300;

/**
 * Makes the network of one entry.
 *
 * @example
 * const network = createPeerNetwork({self, clock, random, log, key});
 * const {port} = await network.listen({host: '10.0.0.4', port: 0});
 */
export function createPeerNetwork(options: {
  readonly self: {readonly id: string; readonly incarnation: number};
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  /** Secret that all entries share. */
  readonly key: string;
  readonly tls?: RenewedTls;
  readonly limits?: Partial<NetworkLimits>;
}): ListeningNetwork {
  const {self, clock, random, log, key, tls} = options;
  const limits = {...DEFAULT_LIMITS, ...options.limits};
  const dispatcher = createDispatcher({clock, log});
  const links = new Map<string, PeerLink>();
  const connections = new Map<string, Connection>();
  const unknown = new Set<WebSocket>();
  const changed = emitter<{peer: string; isOpen: boolean}>();
  const dialFailed = emitter<string>();
  const owned = disposableStore();
  let book = new Map<string, PeerAddress>();

  function hello(withKey: boolean): Buffer {
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
    dispatcher.reject();
    log.warn({reason}, 'refused a peer');
    socket.terminate();
  }

  /** Waits for the other side's hello, then takes the socket into use. */
  function shakeHands(
    socket: WebSocket,
    dialed: {readonly id?: string} | undefined,
    onDone: (connection: Connection | undefined) => void,
  ) {
    const isOurs = dialed !== undefined;
    const expected = dialed?.id;
    unknown.add(socket);
    const timer = clock.after(limits.handshakeMs, () =>
      refuse(socket, 'no hello in time'),
    );
    function finish(connection: Connection | undefined) {
      if (!unknown.delete(socket)) {
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
      const given = isBinary ? helloOf(data as Buffer) : 'text message';
      if (typeof given === 'string') {
        refuse(socket, given);
        return;
      }
      if (isOurs && !isSameKey(given.key ?? '', key)) {
        refuse(socket, 'the accepting side has another key');
        return;
      }
      if (given.id === self.id) {
        refuse(socket, 'the peer has the id of this entry');
        return;
      }
      // An address may have been given to another entry since we learnt it.
      if (expected !== undefined && given.id !== expected) {
        refuse(socket, `expected ${expected}, found ${given.id}`);
        return;
      }
      if (!isOurs) {
        socket.send(hello(true));
      }
      finish(adopt(socket, given, isOurs));
    });
  }

  function adopt(socket: WebSocket, peer: Hello, isOurs: boolean): Connection {
    const connection = wrapSocket({
      socket,
      peer: peer.id,
      incarnation: peer.incarnation,
      isOurs,
      clock,
      limits,
      onMessage: receive,
      onClose: forget,
      onViolation: (from, reason) => {
        dispatcher.reject();
        log.warn({peer: from.peer, reason}, 'peer broke the protocol');
      },
    });
    // The newest wins: a peer that dials again has lost the connection we still hold.
    const before = connections.get(peer.id);
    connections.set(peer.id, connection);
    before?.dispose();
    links.get(peer.id)?.opened();
    if (before === undefined) {
      changed.fire({peer: peer.id, isOpen: true});
    }
    return connection;
  }

  function receive(connection: Connection, bytes: Buffer) {
    const isReadable = dispatcher.receive(connection.peer, bytes, reply =>
      connection.send(reply),
    );
    if (!isReadable) {
      connection.cut('unreadable message');
    }
  }

  function forget(connection: Connection) {
    const {peer} = connection;
    if (connections.get(peer) !== connection) {
      return;
    }
    connections.delete(peer);
    dispatcher.failAsks(peer);
    links.get(peer)?.closed();
    changed.fire({peer, isOpen: false});
  }

  function dialSocket(link: PeerLink) {
    const {id, url} = link.address;
    const socket = openSocket(url);
    if (socket === undefined) {
      link.closed();
      return;
    }
    socket.once('open', () => socket.send(hello(false)));
    shakeHands(socket, {id}, connection => {
      if (connection === undefined && !connections.has(id)) {
        link.closed();
        dialFailed.fire(id);
      }
    });
  }

  function openSocket(url: string): WebSocket | undefined {
    try {
      return new WebSocket(new URL(PEER_PATH, url), {
        headers: {authorization: `Bearer ${key}`},
        handshakeTimeout: limits.handshakeMs,
        maxPayload: limits.messageBytes,
        perMessageDeflate: false,
        ...tls?.current(),
      });
    } catch (error) {
      log.warn({url, reason: String(error)}, 'a peer has an unusable address');
      return undefined;
    }
  }

  function linkTo(address: PeerAddress): PeerLink {
    const known = links.get(address.id);
    if (known !== undefined) {
      known.address = address;
      return known;
    }
    const link = createPeerLink({address, clock, random, open: dialSocket});
    links.set(address.id, link);
    if (connections.has(address.id)) {
      link.opened();
    }
    return link;
  }

  function want(address: PeerAddress) {
    const link = linkTo(address);
    if (link.isWanted) {
      return;
    }
    link.isWanted = true;
    const delayMs = self.id < address.id ? 0 : SECOND_DIALER_DELAY_MS;
    clock.after(delayMs, () => {
      if (link.isWanted) {
        link.dial();
      }
    });
  }

  function unwant(link: PeerLink) {
    const {id} = link.address;
    link.isWanted = false;
    if (book.has(id)) {
      return;
    }
    link.dispose();
    links.delete(id);
    const connection = connections.get(id);
    // What the peer dialled is the peer's to close: our views may differ for a moment.
    if (connection?.isOurs) {
      connection.dispose();
    }
  }

  /** Closes connections that were opened for a single exchange. */
  function closeIdle() {
    const now = clock.now();
    for (const connection of connections.values()) {
      const isWanted = links.get(connection.peer)?.isWanted === true;
      const patience = connection.isOurs ? limits.idleMs : 2 * limits.idleMs;
      if (!isWanted && now - connection.usedAt() > patience) {
        connection.dispose();
      }
    }
  }

  function waitForOpen(to: string, timeoutMs: number): Promise<boolean> {
    if (connections.has(to)) {
      return Promise.resolve(true);
    }
    const address = links.get(to)?.address ?? book.get(to);
    if (address === undefined) {
      return Promise.resolve(false);
    }
    return new Promise(resolve => {
      const timer = clock.after(timeoutMs, () => finish(false));
      const opening = changed.event(({peer, isOpen}) => {
        if (peer === to && isOpen) {
          finish(true);
        }
      });
      const failing = dialFailed.event(id => {
        if (id === to && links.get(to)?.isWanted !== true) {
          finish(false);
        }
      });
      function finish(isOpen: boolean) {
        timer.dispose();
        opening.dispose();
        failing.dispose();
        resolve(isOpen);
      }
      linkTo(address).dial();
    });
  }

  function sendBytes(to: string, bytes: Buffer): boolean {
    const connection = connections.get(to);
    if (connection !== undefined) {
      return connection.send(bytes);
    }
    const address = book.get(to);
    if (address !== undefined) {
      linkTo(address).dial();
    }
    return false;
  }

  owned.add(every(clock, limits.idleMs, closeIdle));

  return {
    async listen({host, port}) {
      const listener = await listenForPeers({
        host,
        port,
        key,
        tls,
        limits,
        log,
        handshakes: () => unknown.size,
        onSocket: socket => shakeHands(socket, undefined, () => {}),
        onRefusal(reason) {
          dispatcher.reject();
          log.warn({reason}, 'refused a connection to the inner port');
        },
      });
      owned.add(listener);
      return {port: listener.port};
    },
    setPeers(peers) {
      const wanted = new Map(peers.map(peer => [peer.id, peer]));
      wanted.delete(self.id);
      for (const link of [...links.values()]) {
        if (!wanted.has(link.address.id)) {
          unwant(link);
        }
      }
      wanted.forEach(want);
    },
    setAddressBook(peers) {
      book = new Map(peers.map(peer => [peer.id, peer]));
      book.delete(self.id);
      for (const link of [...links.values()]) {
        const address = book.get(link.address.id);
        if (address !== undefined) {
          link.address = address;
        } else if (!link.isWanted) {
          unwant(link);
        }
      }
    },
    dial(url) {
      return new Promise((resolve, reject) => {
        const socket = openSocket(url);
        if (socket === undefined) {
          reject(notConnectedError(url));
          return;
        }
        socket.once('open', () => socket.send(hello(false)));
        shakeHands(socket, {}, connection => {
          if (connection === undefined) {
            reject(notConnectedError(url));
            return;
          }
          resolve(connection.peer);
        });
      });
    },
    connected: () => [...connections.keys()],
    send: (to, type, body) =>
      sendBytes(to, dispatcher.encode({type, ask: 0, body})),
    broadcast(type, body, to) {
      const receivers = to ?? [...connections.keys()];
      const bytes = dispatcher.encode({type, ask: 0, body}, receivers.length);
      return receivers.filter(id => sendBytes(id, bytes)).length;
    },
    async ask(to, type, body, timeoutMs) {
      const startedAt = clock.now();
      if (!(await waitForOpen(to, timeoutMs))) {
        throw notConnectedError(to);
      }
      const remainingMs = timeoutMs - (clock.now() - startedAt);
      return dispatcher.ask(to, type, body, remainingMs, bytes =>
        sendBytes(to, bytes),
      );
    },
    onDidReceive: (type, handler) =>
      dispatcher.handle(type, handler as (f: string, b: unknown) => unknown),
    onDidChangePeer: listener =>
      changed.event(({peer, isOpen}) => listener(peer, isOpen)),
    traffic: () => dispatcher.traffic(),
    dump: () => ({
      traffic: dispatcher.traffic(),
      handshakes: unknown.size,
      peers: [...links.values()].map(link => ({
        id: link.address.id,
        state: link.state(),
        isWanted: link.isWanted,
      })),
      connected: [...connections.keys()],
    }),
    dispose() {
      links.forEach(link => link.dispose());
      links.clear();
      connections.forEach(connection => connection.dispose());
      unknown.forEach(socket => socket.terminate());
      owned.dispose();
      dispatcher.dispose();
    },
  };
}

function helloOf(bytes: Buffer): Hello | string {
  try {
    const frame = decodeFrame(bytes);
    return frame.type === HELLO ? readHello(frame.body) : 'no hello';
  } catch {
    return 'unreadable hello';
  }
}
