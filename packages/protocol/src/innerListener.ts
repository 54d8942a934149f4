/** The inner port: accepts connections from peers that have the inner key. */
import http from 'node:http';
import https from 'node:https';
import type {AddressInfo} from 'node:net';
import type {Duplex} from 'node:stream';
import {WebSocketServer, type WebSocket} from 'ws';
import {
  createConnectionGuard,
  ServingError,
  trackOpenResponses,
  type Disposable,
  type Logger,
} from '@skylarkfield/base';
import {isSameKey} from './hello.js';
import type {TlsWatcher} from './innerTls.js';
import type {NetworkLimits} from './limits.js';

export interface InnerListener extends Disposable {
  /** Port number that the listener is bound to, also if 0 was requested. */
  readonly port: number;
}

/** Path at which the inner port accepts WebSocket connections. */
export const PEER_PATH = '/peers';

/** Path at which the inner port accepts requests that a peer hands over. */
export const HANDOVER_PATH = '/handovers';

const BEARER_PREFIX = 'Bearer ';

/** Handles an authorized HTTP request of a peer. */
export type PeerRequestHandler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
) => void;

/**
 * Returns the headers that authorize a request to the inner port of a peer.
 *
 * @example
 * request.setHeaders(authorizationHeaders(innerKey));
 */
export function authorizationHeaders(key: string): {authorization: string} {
  return {authorization: `${BEARER_PREFIX}${key}`};
}

/**
 * Listens on the inner port; throws `bad-settings` if it cannot be bound.
 *
 * @example
 * const listener = await listenForPeers({host, port: 0, key, onSocket, ...rest});
 */
export async function listenForPeers(options: {
  readonly host: string;
  readonly port: number;
  readonly key: string;
  readonly tls?: TlsWatcher;
  readonly limits: NetworkLimits;
  readonly log: Logger;
  /** Number of handshakes in progress. */
  handshakeCount(): number;
  onSocket(socket: WebSocket, stream: Duplex): void;
  /** Handler of requests that peers hand over; undefined if there is none. */
  requestHandler(): PeerRequestHandler | undefined;
  onReject(reason: string): void;
}): Promise<InnerListener> {
  const {limits, tls} = options;
  const guard = createConnectionGuard(unansweredCount =>
    options.log.warn(
      {port: options.port, unansweredCount},
      'connection closed',
    ),
  );
  const serverOptions = {
    ServerResponse: guard.ServerResponse,
    // By default, Node checks for timed-out requests only every 30 s.
    headersTimeout: limits.handshakeTimeoutMs,
    requestTimeout: limits.handshakeTimeoutMs,
    connectionsCheckingInterval: limits.handshakeTimeoutMs,
  };
  const server = tls
    ? https.createServer({
        ...serverOptions,
        ...tls.current(),
        handshakeTimeout: limits.handshakeTimeoutMs,
        // Mutual TLS: the certificates of both sides must be issued by `ca`.
        requestCert: true,
        minVersion: 'TLSv1.2',
      })
    : http.createServer(serverOptions);
  const renewalSubscription = tls?.onDidRenew(material =>
    (server as https.Server).setSecureContext(material),
  );
  const webSocketServer = new WebSocketServer({
    noServer: true,
    maxPayload: limits.maxMessageBytes,
    perMessageDeflate: false,
  });
  guard.attach(server);
  const openResponses = trackOpenResponses(server);
  server.on('request', (request, response) => {
    const handler =
      request.url === HANDOVER_PATH ? options.requestHandler() : undefined;
    if (handler === undefined) {
      response.writeHead(404, {connection: 'close'}).end();
      return;
    }
    if (!isAuthorized(request)) {
      options.onReject('401 Unauthorized');
      response.writeHead(401, {connection: 'close'}).end();
      return;
    }
    handler(request, response);
  });

  function isAuthorized({headers}: http.IncomingMessage): boolean {
    const authorization = headers.authorization ?? '';
    return (
      authorization.startsWith(BEARER_PREFIX) &&
      isSameKey(authorization.slice(BEARER_PREFIX.length), options.key)
    );
  }

  function rejectionStatus(request: http.IncomingMessage): string | undefined {
    if (!isAuthorized(request)) {
      return '401 Unauthorized';
    }
    if (request.url !== PEER_PATH) {
      return '404 Not Found';
    }
    if (options.handshakeCount() >= limits.maxHandshakes) {
      return '503 Service Unavailable';
    }
    return undefined;
  }

  server.on('upgrade', (request, stream: Duplex, head) => {
    guard.release(stream);
    stream.on('error', () => stream.destroy());
    const status = rejectionStatus(request);
    if (status !== undefined) {
      options.onReject(status);
      stream.end(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
      return;
    }
    webSocketServer.handleUpgrade(request, stream, head, socket =>
      options.onSocket(socket, stream),
    );
  });

  await new Promise<void>((resolve, reject) => {
    server.once('error', error =>
      reject(
        new ServingError(
          'bad-settings',
          `cannot listen on the inner port: ${error.message}`,
          {
            cause: error,
          },
        ),
      ),
    );
    server.listen(options.port, options.host, resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    dispose() {
      renewalSubscription?.dispose();
      server.close();
      openResponses.breakOff();
      server.closeAllConnections();
      webSocketServer.close();
    },
  };
}
