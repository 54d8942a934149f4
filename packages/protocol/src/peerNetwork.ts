/** The network between entries over WebSockets. */
import type {WebSocket} from 'ws';
import {
  disposableStore,
  emitter,
  every,
  type Clock,
  type Logger,
  type Random,
} from '@skylarkfield/base';
import {wrapSocket, type Connection} from './connection.js';
import type {PeerNetwork} from './contracts.js';
import {createDispatcher, notConnectedError} from './dispatcher.js';
import type {Hello} from './hello.js';
import {createHandshakes} from './handshakes.js';
import {listenForPeers} from './innerListener.js';
import type {RenewedTls} from './innerTls.js';
import {DEFAULT_LIMITS, type NetworkLimits} from './limits.js';
import type {PeerLink} from './peerLink.js';
import {createPeerLinks} from './peerLinks.js';
import {openPeerSocket} from './peerSocket.js';

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
  const connections = new Map<string, Connection>();
  const changed = emitter<{peer: string; isOpen: boolean}>();
  const dialFailed = emitter<string>();
  const owned = disposableStore();
  const handshakes = createHandshakes({
    self,
    key,
    clock,
    log,
    timeoutMs: limits.handshakeMs,
    adopt,
    onRefusal: () => dispatcher.reject(),
  });
  const links = createPeerLinks({
    selfId: self.id,
    clock,
    random,
    connectionTo: id => connections.get(id),
    open: dialLink,
  });

  function openSocket(url: string): WebSocket | undefined {
    return openPeerSocket({url, key, limits, tls, log});
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
    if (before !== undefined && before.incarnation !== peer.incarnation) {
      // The process that was asked is gone, and its end may never close: the
      // asker would wait for its whole timeout.
      dispatcher.failAsks(before);
    }
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
    // Also for one that was replaced: its questions would wait for their whole
    // timeout. Until here it may still bring answers that were on their way.
    dispatcher.failAsks(connection);
    if (connections.get(peer) !== connection) {
      return;
    }
    connections.delete(peer);
    links.get(peer)?.closed();
    changed.fire({peer, isOpen: false});
  }

  function dialLink(link: PeerLink) {
    const {id, url} = link.address;
    const socket = openSocket(url);
    if (socket === undefined) {
      link.closed();
      return;
    }
    handshakes.dial(socket, id, connection => {
      if (connection === undefined && !connections.has(id)) {
        link.closed();
        dialFailed.fire(id);
      }
    });
  }

  /** Closes connections that were opened for a single exchange. */
  function closeIdle() {
    const now = clock.now();
    for (const connection of connections.values()) {
      const isWanted = links.get(connection.peer)?.isWanted === true;
      const idleLimitMs = connection.isOurs ? limits.idleMs : 2 * limits.idleMs;
      if (!isWanted && now - connection.usedAt() > idleLimitMs) {
        connection.dispose();
      }
    }
  }

  function waitForOpen(to: string, timeoutMs: number): Promise<boolean> {
    if (connections.has(to)) {
      return Promise.resolve(true);
    }
    const address = links.addressOf(to);
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
      links.linkTo(address).dial();
    });
  }

  function sendBytes(to: string, bytes: Buffer): boolean {
    const connection = connections.get(to);
    if (connection !== undefined) {
      return connection.send(bytes);
    }
    const address = links.listedAddress(to);
    if (address !== undefined) {
      links.linkTo(address).dial();
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
        handshakes: handshakes.count,
        onSocket: handshakes.accept,
        onRefusal(reason) {
          dispatcher.reject();
          log.warn({reason}, 'refused a connection to the inner port');
        },
      });
      owned.add(listener);
      return {port: listener.port};
    },
    setPeers: links.setWanted,
    setAddressBook: links.setAddressBook,
    dial(url) {
      return new Promise((resolve, reject) => {
        const socket = openSocket(url);
        if (socket === undefined) {
          reject(notConnectedError(url));
          return;
        }
        handshakes.dial(socket, undefined, connection => {
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
      return dispatcher.ask(
        to,
        type,
        body,
        remainingMs,
        bytes => sendBytes(to, bytes),
        connections.get(to),
      );
    },
    onDidReceive: (type, handler) =>
      dispatcher.handle(type, handler as (f: string, b: unknown) => unknown),
    onDidChangePeer: listener =>
      changed.event(({peer, isOpen}) => listener(peer, isOpen)),
    traffic: () => dispatcher.traffic(),
    dump: () => ({
      traffic: dispatcher.traffic(),
      handshakes: handshakes.count(),
      peers: links.dump(),
      connected: [...connections.keys()],
    }),
    dispose() {
      links.dispose();
      connections.forEach(connection => connection.dispose());
      handshakes.dispose();
      owned.dispose();
      dispatcher.dispose();
    },
  };
}
