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
import {createBodyMemory, type BodyMemory} from './bodyBuffer.js';
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

/**
 * Connections that a request may use. `reserved`: also those set aside for
 * requests for which the endpoint holds a slot, so that they need not wait until
 * another request has ended.
 */
export type ConnectionClass = 'shared' | 'reserved';

/** Connection pools of all endpoints. */
export interface Upstreams extends Disposable {
  /** Memory that the responses share. */
  readonly bodyMemory: BodyMemory;
  send(
    address: string,
    request: UpstreamRequest,
    listener: UpstreamListener,
    connectionClass?: ConnectionClass,
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
 * Maximum numbers of connections from this entry to one endpoint; well below the
 * endpoint's limit divided by the number of entries that share the endpoint.
 */
const MAX_CONNECTIONS: Readonly<Record<ConnectionClass, number>> = {
  shared: 48,
  reserved: 16,
};

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
  const pools: Readonly<Record<ConnectionClass, Map<string, Pool>>> = {
    shared: new Map(),
    reserved: new Map(),
  };
  const watch: ConnectionWatch = {
    ends: createResponseEnds(),
    progress: createResponseProgress(),
  };

  /** Returns undefined if the address is invalid. */
  function getOrCreatePool(
    address: string,
    connectionClass: ConnectionClass,
  ): Pool | undefined {
    const existingPool = pools[connectionClass].get(address);
    if (existingPool !== undefined) {
      return existingPool;
    }
    if (!URL.canParse(`http://${address}`)) {
      return undefined;
    }
    const pool = new Pool(`http://${address}`, {
      connections: MAX_CONNECTIONS[connectionClass],
      pipelining: 1,
      connect: watchConnections(connect, watch),
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    pools[connectionClass].set(address, pool);
    return pool;
  }

  /** Returns the reserved pool only if all shared connections are in use. */
  function choosePool(
    address: string,
    connectionClass: ConnectionClass,
  ): Pool | undefined {
    const sharedPool = getOrCreatePool(address, 'shared');
    const isSaturated =
      sharedPool !== undefined &&
      sharedPool.stats.size >= MAX_CONNECTIONS.shared;
    return connectionClass === 'reserved' && isSaturated
      ? getOrCreatePool(address, 'reserved')
      : sharedPool;
  }

  /** Closes the pools after their requests in flight have ended. */
  function closePools(addresses: readonly string[]): void {
    for (const poolsOfClass of Object.values(pools)) {
      for (const address of addresses) {
        const pool = poolsOfClass.get(address);
        poolsOfClass.delete(address);
        pool?.close().catch(() => pool.destroy());
      }
    }
  }

  return {
    bodyMemory: createBodyMemory(),
    send(address, request, listener, connectionClass = 'shared') {
      const pool = choosePool(address, connectionClass);
      return pool === undefined
        ? rejectAddress(address, listener)
        : dispatch(pool, watch, request, listener);
    },
    retainOnly: addresses =>
      closePools(
        [...pools.shared.keys()].filter(address => !addresses.has(address)),
      ),
    renew: closePools,
    dump: () => ({
      ...dumpPools(pools.shared),
      ...(pools.reserved.size > 0 && {reserved: dumpPools(pools.reserved)}),
    }),
    dispose() {
      for (const poolsOfClass of Object.values(pools)) {
        poolsOfClass.forEach(pool => void pool.destroy());
        poolsOfClass.clear();
      }
    },
  };
}

function dumpPools(pools: ReadonlyMap<string, Pool>): Record<string, unknown> {
  return Object.fromEntries(
    [...pools].map(([address, {stats}]) => [
      address,
      {
        connected: stats.connected,
        running: stats.running,
        queued: stats.queued,
      },
    ]),
  );
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
        // undici starts a request again if it takes the connection for an idle
        // one, although that connection may have delivered the request.
        const isRestarted = controller !== undefined;
        controller = startedController;
        if (isSettled || isRestarted) {
          startedController.abort(new Error('the connection was lost'));
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
        ends.closeIfSending();
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
