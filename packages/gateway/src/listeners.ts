/** The gateway's HTTP ports. */
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import polka from 'polka';
import {ServingError, type Disposable} from '@skylarkfield/base';
import type {CallerLimits} from '@skylarkfield/traffic';
import type {Address} from './settings.js';

export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** Disposing it cuts its connections. */
export interface Port extends Disposable {
  readonly port: number;
  setLimits(limits: CallerLimits): void;
}

/** How often Node looks for late senders where a policy limits them, and elsewhere, in milliseconds. */
const CHECK_MS = {limited: 1_000, free: 30_000};

/** Connections that may wait to be taken: a burst of callers after an entry was lost. */
const BACKLOG = 1_024;

/** The largest head that any policy may allow, in bytes; Node fixes it when a server is made. */
const HEADER_BYTES = 16_384;

/**
 * Opens a port. Throws `bad-settings` when it can't be bound.
 *
 * @example
 * const port = await openPort(settings.callers, handler);
 */
export async function openPort(
  address: Address,
  handler: RequestHandler,
  senders: keyof typeof CHECK_MS = 'free',
): Promise<Port> {
  const server = http.createServer({
    maxHeaderSize: HEADER_BYTES,
    connectionsCheckingInterval: CHECK_MS[senders],
    // A whole request may take as long as its body; only its head is timed.
    requestTimeout: 0,
  });
  const app = polka({server, onNoMatch: handler});
  server.on('request', app.handler as never);
  await listen(server, address);
  return {
    port: (server.address() as AddressInfo).port,
    dispose() {
      server.close();
      server.closeAllConnections();
    },
    setLimits({headerMs, idleMs}) {
      server.headersTimeout = headerMs;
      server.keepAliveTimeout = idleMs;
    },
  };
}

function listen(server: http.Server, {host, port}: Address): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', error =>
      reject(
        new ServingError(
          'bad-settings',
          `cannot listen on ${host}:${port}: ${error.message}`,
        ),
      ),
    );
    server.listen({host, port, backlog: BACKLOG}, resolve);
  });
}
