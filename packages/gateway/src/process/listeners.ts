/** The gateway's HTTP ports. */
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import polka from 'polka';
import {
  createConnectionGuard,
  discardBody,
  ServingError,
  systemClock,
  toServingError,
  trackOpenResponses,
  type Disposable,
  type Logger,
  type ReadBounds,
} from '@skylarkfield/base';
import type {CallerLimits} from '@skylarkfield/traffic';
import type {Address} from '../settings.js';

export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** An open port; disposing it closes its connections. */
export interface Port extends Disposable {
  readonly port: number;
  setLimits(limits: CallerLimits): void;
}

/**
 * Interval at which Node checks connections for timeouts, in milliseconds:
 * `limited` for the port with caller limits, `free` for all other ports.
 */
const TIMEOUT_CHECK_INTERVAL_MS = {limited: 1_000, free: 30_000};

/** Listen backlog; callers reconnect in bursts when an entry fails. */
const BACKLOG = 1_024;

/**
 * Maximum size of request headers, in bytes. Node fixes the size when a server
 * is created, so policies cannot raise it.
 */
const MAX_HEADER_BYTES = 16_384;

/** Bounds of a body on a port whose requests need none. */
const UNREAD_BODY_BOUNDS: ReadBounds = {
  maxBytes: 64 * 1024,
  timeoutMs: 10_000,
};

const FAILED_STATUS = 500;

/**
 * Opens a port; on a `free` one, bodies are discarded. Throws `bad-settings` if the
 * port cannot be bound. If the handler throws, its request fails and the port goes
 * on.
 *
 * @example
 * const port = await openPort(settings.callers, handler, log);
 */
export async function openPort(
  address: Address,
  handler: RequestHandler,
  log: Logger,
  limitMode: keyof typeof TIMEOUT_CHECK_INTERVAL_MS = 'free',
): Promise<Port> {
  const guard = createConnectionGuard(unansweredCount =>
    log.warn({...address, unansweredCount}, 'connection closed'),
  );
  const server = http.createServer({
    ServerResponse: guard.ServerResponse,
    maxHeaderSize: MAX_HEADER_BYTES,
    connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS[limitMode],
    // Only reading the headers has a timeout; bodies may take long.
    requestTimeout: 0,
  });
  guard.attach(server);
  const openResponses = trackOpenResponses(server);
  keepAnnouncedIdleTimes(server);
  if (limitMode === 'free') {
    const clock = systemClock();
    server.on('request', request =>
      discardBody(request, UNREAD_BODY_BOUNDS, clock),
    );
  }
  const app = polka({server, onNoMatch: containFailures(handler, log)});
  server.on('request', app.handler as never);
  await listen(server, address);
  return {
    port: (server.address() as AddressInfo).port,
    dispose() {
      server.close();
      openResponses.breakOff();
      server.closeAllConnections();
    },
    setLimits({headerMs, idleMs}) {
      server.headersTimeout = headerMs;
      server.keepAliveTimeout = idleMs;
    },
  };
}

/** Returns a handler that answers the request if the given handler throws. */
function containFailures(handler: RequestHandler, log: Logger): RequestHandler {
  return (request, response) => {
    try {
      handler(request, response);
    } catch (error) {
      log.error(
        {method: request.method, url: request.url, err: toServingError(error)},
        'request handler failed',
      );
      if (response.headersSent) {
        response.destroy();
        return;
      }
      response.statusCode = FAILED_STATUS;
      response.end();
    }
  };
}

/**
 * Keeps each connection open for the idle time that its last response has
 * announced, also if the limit has become shorter since: a request that the
 * caller sends within that time would cross the close of the connection.
 */
function keepAnnouncedIdleTimes(server: http.Server): void {
  server.on('request', ({socket}, response) => {
    const announcedMs = server.keepAliveTimeout;
    response.once('finish', () => {
      // Node's own listener has set the current limit unless a request waits.
      const {timeout = 0} = socket;
      if (timeout > 0 && timeout < announcedMs) {
        socket.setTimeout(announcedMs);
      }
    });
  });
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
