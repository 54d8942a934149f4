/** Network between entries over WebSockets. */
import type {WebSocket} from 'ws';
import {
  createDisposableStore,
  createEmitter,
  scheduleRepeatedly,
  type Clock,
  type Logger,
  type Random,
} from '@skylarkfield/base';
import {wrapSocket, type Connection, type Corkable} from './connection.js';
import type {PeerNetwork} from './contracts.js';
import {createDispatcher, notConnectedError} from './dispatcher.js';
import type {Hello} from './hello.js';
import {createHandshakes} from './handshakes.js';
import {listenForPeers, type PeerRequestHandler} from './innerListener.js';
import type {TlsWatcher} from './innerTls.js';
import {DEFAULT_NETWORK_LIMITS, type NetworkLimits} from './limits.js';
import type {PeerLink} from './peerLink.js';
import {createPeerLinks} from './peerLinks.js';
import {openPeerSocket} from './peerSocket.js';

/** Network that can accept connections and dump its state. */
export interface ListeningNetwork extends PeerNetwork {
  /** Listens on the inner port; port 0 selects any free port. */
  listen(address: {
    readonly host: string;
    readonly port: number;
  }): Promise<{readonly port: number}>;
  /** Sets the handler of requests that peers hand over over HTTP. */
  setRequestHandler(handler: PeerRequestHandler): void;
  dump(): unknown;
}

/**
 * Creates the network of one entry.
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
  /** Secret shared by all entries. */
  readonly key: string;
  readonly tls?: TlsWatcher;
  readonly limits?: Partial<NetworkLimits>;
}): ListeningNetwork {
  const {self, clock, random, log, key, tls} = options;
  const limits = {...DEFAULT_NETWORK_LIMITS, ...options.limits};
  const dispatcher = createDispatcher({clock, log});
  const connections = new Map<string, Connection>();
  const peerChangeEmitter = createEmitter<{peer: string; isOpen: boolean}>();
  const replacementEmitter = createEmitter<string>();
  const dialFailureEmitter = createEmitter<string>();
  const disposables = createDisposableStore();
  let requestHandler: PeerRequestHandler | undefined;
  const handshakes = createHandshakes({
    self,
    key,
    clock,
    log,
    timeoutMs: limits.handshakeTimeoutMs,
    addConnection,
    onReject: () => dispatcher.countRejected(),
  });
  const links = createPeerLinks({
    selfId: self.id,
    clock,
    random,
    connectionTo: id => connections.get(id),
    startDial: dialLink,
  });

  function openSocket(url: string): WebSocket | undefined {
    return openPeerSocket({url, key, limits, tls, log});
  }

  function addConnection(
    socket: WebSocket,
    stream: Corkable | undefined,
    peer: Hello,
    isOutbound: boolean,
  ): Connection {
    const connection = wrapSocket({
      socket,
      stream,
      peer: peer.id,
      incarnation: peer.incarnation,
      isOutbound,
      clock,
      limits,
      onMessage: handleMessage,
      onClose: handleClose,
      onViolation: (violatingConnection, reason) => {
        dispatcher.countRejected();
        log.warn(
          {peer: violatingConnection.peer, reason},
          'peer violated the protocol',
        );
      },
    });
    // The newest connection replaces the previous one: a peer that redials has
    // lost its previous connection.
    const previousConnection = connections.get(peer.id);
    connections.set(peer.id, connection);
    previousConnection?.dispose();
    if (
      previousConnection !== undefined &&
      previousConnection.incarnation !== peer.incarnation
    ) {
      // The previous process is gone and may never close its socket: pending
      // requests to it would wait for their whole timeout.
      dispatcher.failRequests(previousConnection);
    }
    links.get(peer.id)?.handleOpened();
    if (previousConnection === undefined) {
      peerChangeEmitter.fire({peer: peer.id, isOpen: true});
    } else {
      replacementEmitter.fire(peer.id);
    }
    return connection;
  }

  function handleMessage(connection: Connection, bytes: Buffer) {
    const isWellFormed = dispatcher.receive(connection.peer, bytes, reply =>
      connection.send(reply),
    );
    if (!isWellFormed) {
      connection.abort('unreadable message');
    }
  }

  function handleClose(connection: Connection) {
    const {peer} = connection;
    // A replaced connection may deliver responses until it closes; afterwards
    // its pending requests would wait for their whole timeout.
    dispatcher.failRequests(connection);
    if (connections.get(peer) !== connection) {
      return;
    }
    connections.delete(peer);
    links.get(peer)?.handleClosed();
    peerChangeEmitter.fire({peer, isOpen: false});
  }

  function dialLink(link: PeerLink) {
    const {id, url} = link.address;
    const socket = openSocket(url);
    if (socket === undefined) {
      link.handleClosed();
      return;
    }
    handshakes.dial(socket, id, connection => {
      if (connection === undefined && !connections.has(id)) {
        link.handleClosed();
        dialFailureEmitter.fire(id);
      }
    });
  }

  /**
   * Closes idle connections that were opened on demand; connections that the
   * peer opened, after twice the idle time.
   */
  function closeIdleConnections() {
    const now = clock.now();
    for (const connection of connections.values()) {
      const isPersistent = links.get(connection.peer)?.isPersistent === true;
      const idleLimitMs = connection.isOutbound
        ? limits.idleTimeoutMs
        : 2 * limits.idleTimeoutMs;
      if (!isPersistent && now - connection.lastMessageAt() > idleLimitMs) {
        connection.dispose();
      }
    }
  }

  function waitForConnection(
    peerId: string,
    timeoutMs: number,
  ): Promise<boolean> {
    if (connections.has(peerId)) {
      return Promise.resolve(true);
    }
    const address = links.addressOf(peerId);
    if (address === undefined) {
      return Promise.resolve(false);
    }
    return new Promise(resolve => {
      const timer = clock.after(timeoutMs, () => finish(false));
      const openSubscription = peerChangeEmitter.event(({peer, isOpen}) => {
        if (peer === peerId && isOpen) {
          finish(true);
        }
      });
      const failureSubscription = dialFailureEmitter.event(id => {
        if (id === peerId && links.get(peerId)?.isPersistent !== true) {
          finish(false);
        }
      });
      function finish(isOpen: boolean) {
        timer.dispose();
        openSubscription.dispose();
        failureSubscription.dispose();
        resolve(isOpen);
      }
      links.getOrCreate(address).dial();
    });
  }

  function sendBytes(peerId: string, bytes: Buffer): boolean {
    const connection = connections.get(peerId);
    if (connection !== undefined) {
      return connection.send(bytes);
    }
    const address = links.addressFromBook(peerId);
    if (address !== undefined) {
      links.getOrCreate(address).dial();
    }
    return false;
  }

  disposables.add(
    scheduleRepeatedly(clock, limits.idleTimeoutMs, closeIdleConnections),
  );

  return {
    async listen({host, port}) {
      const listener = await listenForPeers({
        host,
        port,
        key,
        tls,
        limits,
        log,
        handshakeCount: handshakes.count,
        onSocket: handshakes.accept,
        requestHandler: () => requestHandler,
        onReject(reason) {
          dispatcher.countRejected();
          log.warn({reason}, 'rejected a connection to the inner port');
        },
      });
      disposables.add(listener);
      return {port: listener.port};
    },
    setRequestHandler(handler) {
      requestHandler = handler;
    },
    setPeers: links.setPersistentPeers,
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
    connectedPeers: () => [...connections.keys()],
    send: (peerId, type, body) =>
      sendBytes(peerId, dispatcher.encode({type, requestId: 0, body})),
    broadcast(type, body, peerIds) {
      const receivers = peerIds ?? [...connections.keys()];
      const bytes = dispatcher.encode(
        {type, requestId: 0, body},
        receivers.length,
      );
      return receivers.filter(id => sendBytes(id, bytes)).length;
    },
    async request(peerId, type, body, timeoutMs) {
      const startedAt = clock.now();
      if (!(await waitForConnection(peerId, timeoutMs))) {
        throw notConnectedError(peerId);
      }
      const remainingMs = timeoutMs - (clock.now() - startedAt);
      return dispatcher.request(
        peerId,
        type,
        body,
        remainingMs,
        bytes => sendBytes(peerId, bytes),
        connections.get(peerId),
      );
    },
    addHandler: (type, handler) =>
      dispatcher.addHandler(
        type,
        handler as (from: string, body: unknown) => unknown,
      ),
    onDidChangePeer: listener =>
      peerChangeEmitter.event(({peer, isOpen}) => listener(peer, isOpen)),
    onDidReplaceConnection: replacementEmitter.event,
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
      disposables.dispose();
      dispatcher.dispose();
    },
  };
}
