/** Connections to endpoints, and one request over one of them. */
import type {Socket} from 'node:net';
import {buildConnector, Pool, type Dispatcher} from 'undici';
import {ServingError, type Disposable} from '@skylarkfield/base';
import type {ReplyHeaders} from './contracts.js';

/** A request as it goes to an endpoint. */
export interface UpstreamRequest {
  readonly method: string;
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: string[];
  readonly body: Buffer | undefined;
}

/** What happens to a request at an endpoint, in order; one of the last two comes last. */
export interface UpstreamListener {
  onDidRespond(status: number, headers: ReplyHeaders): void;
  onDidReceive(chunk: Buffer): void;
  /** `isProven` is false for an answer that shows its end by the end of its connection alone. */
  onDidEnd(isDelimited: boolean): void;
  /** `endpoint-unavailable` when no byte was sent (not run), else `interrupted` (may have run). */
  onDidFail(error: ServingError): void;
}

/** A request on its way. */
export interface UpstreamExchange {
  /** Closes the connection; the listener hears nothing more. */
  abort(): void;
  pause(): void;
  resume(): void;
}

/** Connections to all endpoints. */
export interface Upstreams extends Disposable {
  send(
    address: string,
    request: UpstreamRequest,
    listener: UpstreamListener,
  ): UpstreamExchange;
  /** Closes the connections to addresses that are not among these. */
  keepOnly(addresses: ReadonlySet<string>): void;
  dump(): unknown;
}

/** Time for a connection to an endpoint: a thousand times the round trip between failure domains. */
const CONNECT_TIMEOUT_MS = 1_000;

/** An idle connection without a word from the endpoint on how long it keeps it, is dropped after this. */
const IDLE_TIMEOUT_MS = 4_000;

/** Dropped this much before the endpoint would, so that a request does not cross its close. */
const IDLE_MARGIN_MS = 1_000;

/** Connections of this entry to one endpoint; well below an endpoint's bound over the entries that share it. */
const MAX_CONNECTIONS = 48;

/**
 * How a connection is ending at this very moment.
 *
 * Where an answer closes its connection, undici takes any end of the connection
 * for the end of the answer: a reset, and a close in the middle of a chunk too.
 * Half an answer would be passed on as a whole one. The listeners set here run
 * before undici's own, in the same turn.
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
 * Whether the connection was reset although it looks closed in order: where a
 * reset arrives together with data, libuv reports an end without reading on. The
 * address of the other side can then no longer be asked for; nothing else in
 * this process asks for it, so it is not remembered from before.
 */
function isReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}

/** By what an answer's end is known. */
type Framing = 'length' | 'chunks' | 'close';

/** Whether an answer that undici takes for complete is so, by how its connection ends just now. */
const isComplete: Readonly<Record<Framing, (end: ConnectionEnd) => boolean>> = {
  // undici compares the length itself.
  length: () => true,
  chunks: end => end === 'none',
  close: end => end === 'closed',
};

/**
 * Makes the connections; none is opened before it is used.
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
    keepOnly(addresses) {
      for (const [address, pool] of pools) {
        if (!addresses.has(address)) {
          pools.delete(address);
          // Requests in flight end by themselves; the pool closes after them.
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
      // From here on bytes may have left this process.
      onRequestStart(started) {
        controller = started;
        if (isSettled) {
          started.abort(new Error('given up'));
        }
      },
      onResponseStart(_, status, headers) {
        if (!isSettled) {
          framing = framingOf(headers as ReplyHeaders);
          listener.onDidRespond(status, headers as ReplyHeaders);
        }
      },
      onResponseData(_, chunk) {
        if (!isSettled) {
          listener.onDidReceive(chunk);
        }
      },
      onResponseEnd() {
        if (!isComplete[framing](endState.current)) {
          fail(new Error('the connection ended in the middle of the answer'));
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
      controller?.abort(new Error('given up'));
    },
    pause: () => controller?.pause(),
    resume: () => controller?.resume(),
  };
}

function framingOf(headers: ReplyHeaders): Framing {
  if (headers['transfer-encoding'] !== undefined) {
    return 'chunks';
  }
  return headers['content-length'] === undefined ? 'close' : 'length';
}
