/** Connection pools to endpoints, and HTTP exchanges over them. */
import {buildConnector, Pool, type Dispatcher} from 'undici';
import {
  createResponseEnds,
  framingOf,
  ServingError,
  type Disposable,
  type ResponseEnds,
  type ResponseFraming,
} from '@skylarkfield/base';
import type {ResponseHeaders} from '../contracts.js';
import {
  createResponseProgress,
  type ResponseProgress,
} from '../callers/responseProgress.js';

/** A request as sent to an endpoint. */
export interface UpstreamRequest {
  readonly method: string;
  readonly path: string;
  /** Alternating header names and values. */
  readonly headers: string[];
  readonly body: Buffer | undefined;
}

/** Callbacks of an exchange; `onDidEnd` or `onDidFail` is the last call. */
export interface UpstreamListener {
  onDidRespond(
    status: number,
    headers: ResponseHeaders,
    framing: ResponseFraming,
  ): void;
  onDidReceive(chunk: Buffer): void;
  /** Called at the end of a complete response, with the mark of its end. */
  onDidEnd(framing: ResponseFraming): void;
  /**
   * Called with `endpoint-unavailable` if no byte of the request was sent (not
   * run), also if the address is invalid, else with `interrupted` (may have
   * run).
   */
  onDidFail(error: ServingError): void;
}

/** A request in flight. */
export interface UpstreamExchange {
  /** Whether bytes of the request may have been sent. */
  hasStarted(): boolean;
  /** Closes the connection; the listener is not called again after that. */
  abort(): void;
  pause(): void;
  resume(): void;
}

/** Connection pools of all endpoints. */
export interface Upstreams extends Disposable {
  send(
    address: string,
    request: UpstreamRequest,
    listener: UpstreamListener,
  ): UpstreamExchange;
  /** Closes the pools of all addresses that are not in the set. */
  retainOnly(addresses: ReadonlySet<string>): void;
  /**
   * Sends later requests to these addresses over new connections. Requests in
   * flight go on.
   */
  renew(addresses: readonly string[]): void;
  dump(): unknown;
}

/**
 * Timeout of opening a connection, in milliseconds: a thousand times the round
 * trip between failure domains.
 */
const CONNECT_TIMEOUT_MS = 1_000;

/**
 * Time after which an idle connection is closed, in milliseconds; applies
 * unless the endpoint announces its own timeout.
 */
const IDLE_TIMEOUT_MS = 4_000;

/**
 * Time before the endpoint's announced timeout at which an idle connection is
 * closed, in milliseconds, so that no request is sent while the endpoint closes
 * the connection.
 */
const IDLE_MARGIN_MS = 1_000;

/**
 * Maximum number of connections from this entry to one endpoint; well below the
 * endpoint's limit divided by the number of entries that share the endpoint.
 */
const MAX_CONNECTIONS = 48;

/** Lowest status of a response; heads with a lower one precede it. */
const FIRST_FINAL_STATUS = 200;

/** Opens a connection to an endpoint. */
export type EndpointConnector = buildConnector.connector;

/**
 * Returns the connector of a process, which opens TCP connections.
 *
 * @example
 * const upstreams = createUpstreams(createTcpConnector());
 */
export function createTcpConnector(): EndpointConnector {
  return buildConnector({timeout: CONNECT_TIMEOUT_MS});
}

/** What is known of the connections of one process. */
interface ConnectionWatch {
  readonly ends: ResponseEnds;
  readonly progress: ResponseProgress;
}

/** Returns a connector that also watches its connections. */
function watchConnections(
  connect: EndpointConnector,
  {ends, progress}: ConnectionWatch,
): EndpointConnector {
  return (options, callback) =>
    connect(options, (...connectResult) => {
      const [, socket] = connectResult;
      if (socket) {
        ends.watch(socket);
        progress.watch(socket);
      }
      callback(...connectResult);
    });
}

/**
 * Creates empty connection pools; connections are opened on demand.
 *
 * @example
 * const exchange = upstreams.send('10.0.0.7:8000', request, listener);
 */
export function createUpstreams(
  connect: EndpointConnector = createTcpConnector(),
): Upstreams {
  const pools = new Map<string, Pool>();
  const watch: ConnectionWatch = {
    ends: createResponseEnds(),
    progress: createResponseProgress(),
  };

  /** Returns undefined if the address is invalid. */
  function getOrCreatePool(address: string): Pool | undefined {
    const existingPool = pools.get(address);
    if (existingPool !== undefined) {
      return existingPool;
    }
    if (!URL.canParse(`http://${address}`)) {
      return undefined;
    }
    const pool = new Pool(`http://${address}`, {
      connections: MAX_CONNECTIONS,
      pipelining: 1,
      connect: watchConnections(connect, watch),
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    pools.set(address, pool);
    return pool;
  }

  /** Closes the pools after their requests in flight have ended. */
  function closePools(addresses: readonly string[]): void {
    for (const address of addresses) {
      const pool = pools.get(address);
      pools.delete(address);
      pool?.close().catch(() => pool.destroy());
    }
  }

  return {
    send(address, request, listener) {
      const pool = getOrCreatePool(address);
      return pool === undefined
        ? rejectAddress(address, listener)
        : dispatch(pool, watch, request, listener);
    },
    retainOnly: addresses =>
      closePools([...pools.keys()].filter(address => !addresses.has(address))),
    renew: closePools,
    dump: () =>
      Object.fromEntries(
        [...pools].map(([address, {stats}]) => [
          address,
          {
            connected: stats.connected,
            running: stats.running,
            queued: stats.queued,
          },
        ]),
      ),
    dispose() {
      for (const pool of pools.values()) {
        void pool.destroy();
      }
      pools.clear();
    },
  };
}

/** Returns an exchange that fails without having been sent. */
function rejectAddress(
  address: string,
  listener: UpstreamListener,
): UpstreamExchange {
  let isAborted = false;
  queueMicrotask(() => {
    if (!isAborted) {
      listener.onDidFail(
        new ServingError(
          'endpoint-unavailable',
          `${JSON.stringify(address)} is not the address of an endpoint`,
        ),
      );
    }
  });
  return {
    hasStarted: () => false,
    abort: () => void (isAborted = true),
    pause() {},
    resume() {},
  };
}

function dispatch(
  pool: Pool,
  {ends, progress}: ConnectionWatch,
  request: UpstreamRequest,
  listener: UpstreamListener,
): UpstreamExchange {
  let controller: Dispatcher.DispatchController | undefined;
  let isSettled = false;
  let framing: ResponseFraming = 'length';

  function fail(error: Error): void {
    if (isSettled) {
      return;
    }
    isSettled = true;
    listener.onDidFail(
      controller === undefined
        ? new ServingError('endpoint-unavailable', error.message, {
            cause: error,
          })
        : new ServingError('interrupted', error.message, {cause: error}),
    );
  }

  function end(): void {
    if (!isSettled) {
      isSettled = true;
      listener.onDidEnd(framing);
    }
  }

  pool.dispatch(
    {
      method: request.method as Dispatcher.HttpMethod,
      path: request.path,
      headers: request.headers,
      body: request.body ?? null,
    },
    {
      // After this call, bytes of the request may have been sent.
      onRequestStart(startedController) {
        controller = startedController;
        if (isSettled) {
          startedController.abort(new Error('aborted'));
        }
      },
      onResponseStart(_, status, responseHeaders) {
        if (status < FIRST_FINAL_STATUS) {
          // An interim head, which says nothing of the response.
          return;
        }
        progress.record();
        if (isSettled) {
          return;
        }
        const headers = responseHeaders as ResponseHeaders;
        framing = framingOf(request.method, status, headers);
        listener.onDidRespond(status, headers, framing);
        if (framing === 'head') {
          // undici expects a body of the length that the head of 304 declares.
          end();
        }
      },
      onResponseData(_, chunk) {
        progress.record();
        if (!isSettled) {
          listener.onDidReceive(chunk);
        }
      },
      onResponseEnd() {
        progress.record();
        if (!ends.isComplete(framing)) {
          fail(new Error('the connection ended in the middle of the response'));
          return;
        }
        end();
      },
      onResponseError: (_, error) => fail(error),
    },
  );
  return {
    hasStarted: () => controller !== undefined,
    abort() {
      isSettled = true;
      controller?.abort(new Error('aborted'));
    },
    pause: () => controller?.pause(),
    resume: () => controller?.resume(),
  };
}
