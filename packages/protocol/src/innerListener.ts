/** The inner port: takes connections of peers that hold the inner key. */
import http from 'node:http';
import https from 'node:https';
import type {AddressInfo} from 'node:net';
import type {Duplex} from 'node:stream';
import {WebSocketServer, type WebSocket} from 'ws';
import {ServingError, type Disposable, type Logger} from '@skylarkfield/base';
import {isSameKey} from './hello.js';
import type {RenewedTls} from './innerTls.js';
import type {NetworkLimits} from './limits.js';

export interface InnerListener extends Disposable {
  /** The port that is listened on, also when 0 was asked for. */
  readonly port: number;
}

/** Path of the inner port's only resource. */
export const PEER_PATH = '/peers';

const BEARER = 'Bearer ';

/**
 * Listens for peers.
 *
 * @example
 * const listener = await listenForPeers({host, port: 0, key, onSocket, ...rest});
 */
export async function listenForPeers(options: {
  readonly host: string;
  readonly port: number;
  readonly key: string;
  readonly tls?: RenewedTls;
  readonly limits: NetworkLimits;
  readonly log: Logger;
  /** Sockets that have not yet said hello. */
  handshakes(): number;
  onSocket(socket: WebSocket): void;
  onRefusal(reason: string): void;
}): Promise<InnerListener> {
  const {limits, tls} = options;
  // The interval at which node looks for requests over time is 30 s by default.
  const timeouts = {
    headersTimeout: limits.handshakeMs,
    requestTimeout: limits.handshakeMs,
    connectionsCheckingInterval: limits.handshakeMs,
  };
  const server = tls
    ? https.createServer({
        ...timeouts,
        ...tls.current(),
        handshakeTimeout: limits.handshakeMs,
        // Both sides prove that their certificate comes from the authorities.
        requestCert: true,
        minVersion: 'TLSv1.2',
      })
    : http.createServer(timeouts);
  const renewal = tls?.onDidRenew(material =>
    (server as https.Server).setSecureContext(material),
  );
  const sockets = new WebSocketServer({
    noServer: true,
    maxPayload: limits.messageBytes,
    perMessageDeflate: false,
  });
  server.on('request', (_, response) => {
    response.writeHead(404, {connection: 'close'}).end();
  });

  function refusal(request: http.IncomingMessage): string | undefined {
    const given = request.headers.authorization ?? '';
    const isKnown =
      given.startsWith(BEARER) &&
      isSameKey(given.slice(BEARER.length), options.key);
    if (!isKnown) {
      return '401 Unauthorized';
    }
    if (request.url !== PEER_PATH) {
      return '404 Not Found';
    }
    if (options.handshakes() >= limits.handshakes) {
      return '503 Service Unavailable';
    }
    return undefined;
  }

  server.on('upgrade', (request, stream: Duplex, head) => {
    stream.on('error', () => stream.destroy());
    const refused = refusal(request);
    if (refused !== undefined) {
      options.onRefusal(refused);
      stream.end(`HTTP/1.1 ${refused}\r\nConnection: close\r\n\r\n`);
      return;
    }
    sockets.handleUpgrade(request, stream, head, options.onSocket);
  });

  await new Promise<void>((resolve, reject) => {
    server.once('error', error =>
      reject(
        new ServingError('bad-settings', `inner port: ${error.message}`, {
          cause: error,
        }),
      ),
    );
    server.listen(options.port, options.host, resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    dispose() {
      renewal?.dispose();
      server.close();
      server.closeAllConnections();
      sockets.close();
    },
  };
}
