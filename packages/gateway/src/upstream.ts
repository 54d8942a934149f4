/** Connection pools to endpoints, and HTTP exchanges over them. */
import type {Socket} from 'node:net';
import {buildConnector, Pool, type Dispatcher} from 'undici';
import {ServingError, type Disposable} from '@skylarkfield/base';
import type {ResponseHeaders} from './contracts.js';

/** A request as sent to an endpoint. */
export interface UpstreamRequest {
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: string[];
  readonly body: Buffer | undefined;
}

/** Callbacks of an exchange; `onDidEnd` or `onDidFail` is the last call. */
export interface UpstreamListener {
  onDidRespond(status: number, headers: ResponseHeaders): void;
  onDidReceive(chunk: Buffer): void;
  /** `isDelimited` is false if only a closed connection marks the end. */
  onDidEnd(isDelimited: boolean): void;
  /**
   * `endpoint-unavailable` if no byte was sent (not run), else `interrupted`
   * (may have run).
   */
  onDidFail(error: ServingError): void;
}

/** A request in flight. */
export interface UpstreamExchange {
  /** Closes the connection; the listener is not called again. */
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
  /** Closes the pools of all other addresses. */
  retainOnly(addresses: ReadonlySet<string>): void;
  dump(): unknown;
}

/**
 * Connect timeout, in milliseconds: a thousand times the round trip between
 * failure domains.
 */
const CONNECT_TIMEOUT_MS = 1_000;

/**
 * Time after which an idle connection is closed unless the endpoint announces
 * its own timeout, in milliseconds.
 */
const IDLE_TIMEOUT_MS = 4_000;

/**
 * Time before the endpoint's own timeout at which an idle connection is closed,
 * in milliseconds, so that no request is sent while the endpoint closes it.
 */
const IDLE_MARGIN_MS = 1_000;

/**
 * Maximum connections of this entry to one endpoint; well below the endpoint's
 * limit divided by the entries that share it.
 */
const MAX_CONNECTIONS = 48;

/**
 * How a connection is ending in the current event loop turn.
 *
 * If a response closes its connection, undici takes any end of the connection
 * for the end of the response, even a reset or a close in the middle of a
 * chunk, and a truncated response would be passed on as complete. The socket
 * listeners of `createConnector` run before undici's own, in the same turn.
 */
type ConnectionEnd = 'none' | 'closed' | 'failed';

interface ConnectionEndState {
  current: ConnectionEnd;
}

function createConnector(
  endState: ConnectionEndState,
): buildConnector.connector {
  const connect = buildConnector({timeout: CONNECT_TIMEOUT_MS});
  function setEnd(end: ConnectionEnd): void {
    endState.current = end;
    queueMicrotask(() => (endState.current = 'none'));
  }
  return (options, callback) =>
    connect(options, (...outcome) => {
      const [, socket] = outcome;
      socket?.on('end', () => setEnd(isReset(socket) ? 'failed' : 'closed'));
      socket?.on('error', () => setEnd('failed'));
      callback(...outcome);
    });
}

/**
 * Whether a connection that appears closed in order was reset: if a reset
 * arrives together with data, libuv reports an end without reading on. The
 * remote address is then no longer available; this relies on nothing having
 * read it before, since Node caches it.
 */
function isReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}

/** How the end of a response is marked. */
type Framing = 'length' | 'chunks' | 'close';

/**
 * Whether a response that undici reports as complete is really complete, given
 * how its connection is ending.
 */
const isComplete: Readonly<Record<Framing, (end: ConnectionEnd) => boolean>> = {
  // undici checks the length itself.
  length: () => true,
  chunks: end => end === 'none',
  close: end => end === 'closed',
};

/**
 * Creates the pools; connections are opened on demand.
 *
 * @example
 * const exchange = upstreams.send('10.0.0.7:8000', request, listener);
 */
export function createUpstreams(): Upstreams {
  const pools = new Map<string, Pool>();
  const endState: ConnectionEndState = {current: 'none'};

  function poolOf(address: string): Pool {
    const existing = pools.get(address);
    if (existing !== undefined) {
      return existing;
    }
    const pool = new Pool(`http://${address}`, {
      connections: MAX_CONNECTIONS,
      pipelining: 1,
      connect: createConnector(endState),
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    pools.set(address, pool);
    return pool;
  }

  return {
    send: (address, request, listener) =>
      dispatch(poolOf(address), endState, request, listener),
    retainOnly(addresses) {
      for (const [address, pool] of pools) {
        if (!addresses.has(address)) {
          pools.delete(address);
          // The pool closes after its requests in flight have ended.
          pool.close().catch(() => pool.destroy());
        }
      }
    },
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

function dispatch(
  pool: Pool,
  endState: ConnectionEndState,
  request: UpstreamRequest,
  listener: UpstreamListener,
): UpstreamExchange {
  let controller: Dispatcher.DispatchController | undefined;
  let isSettled = false;
  let framing: Framing = 'length';

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

  pool.dispatch(
    {
      method: request.method as Dispatcher.HttpMethod,
      path: request.path,
      headers: request.headers,
      body: request.body ?? null,
    },
    {
      // From here on, bytes may have left this process.
      onRequestStart(started) {
        controller = started;
        if (isSettled) {
          started.abort(new Error('aborted'));
        }
      },
      onResponseStart(_, status, headers) {
        if (!isSettled) {
          framing = framingOf(headers as ResponseHeaders);
          listener.onDidRespond(status, headers as ResponseHeaders);
        }
      },
      onResponseData(_, chunk) {
        if (!isSettled) {
          listener.onDidReceive(chunk);
        }
      },
      onResponseEnd() {
        if (!isComplete[framing](endState.current)) {
          fail(new Error('the connection ended in the middle of the response'));
          return;
        }
        if (!isSettled) {
          isSettled = true;
          listener.onDidEnd(framing !== 'close');
        }
      },
      onResponseError: (_, error) => fail(error),
    },
  );
  return {
    abort() {
      isSettled = true;
      controller?.abort(new Error('aborted'));
    },
    pause: () => controller?.pause(),
    resume: () => controller?.resume(),
  };
}

function framingOf(headers: ResponseHeaders): Framing {
  if (headers['transfer-encoding'] !== undefined) {
    return 'chunks';
  }
  return headers['content-length'] === undefined ? 'close' : 'length';
}
