/** HTTP client of a plain service; errors tell whether a call may have run. */
import {
  createByteCollector,
  createResponseEnds,
  framingOf,
  isFinalStatus,
  isInterimStatus,
  ServingError,
  systemClock,
  withTimeLimit,
  type Disposable,
  type ResponseEnds,
  type ResponseFraming,
  type RunState,
} from '@skylarkfield/base';
import {buildConnector, errors, Pool, type Dispatcher} from 'undici';
import type {
  LoadReport,
  PlainService,
  ServiceCall,
  ServiceResponse,
} from './contracts.js';
import {
  createEndConfirmation,
  type EndConfirmation,
} from './endConfirmation.js';
import {parseLoadReport} from './plainServiceLoad.js';
import {removeHopByHopHeaders} from './plainServiceHeaders.js';

export interface HttpPlainServiceOptions {
  /** Base URL of the service, like `http://10.0.0.7:8000`. */
  readonly url: string;
  /** Maximum number of connections; further calls are queued unsent. */
  readonly maxConnections?: number;
  readonly connectTimeoutMs?: number;
  /** Time without data from the endpoint after which a call fails. */
  readonly idleTimeoutMs?: number;
  /** Maximum size of a response body, in bytes. */
  readonly maxResponseBytes?: number;
  /** Path of the load report. */
  readonly loadPath?: string;
}

/** Plain service client that owns its connections; disposing closes them. */
export interface HttpPlainService extends PlainService, Disposable {}

const DEFAULT_MAX_CONNECTIONS = 64;
const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;
const DEFAULT_IDLE_TIMEOUT_MS = 300_000;
const DEFAULT_MAX_RESPONSE_BYTES = 1_048_576;
const DEFAULT_LOAD_PATH = '/load';
const LOAD_TIMEOUT_MS = 2_000;
/** Shorter than common servers' timeout: fewer calls race with a disconnect. */
const KEEP_ALIVE_TIMEOUT_MS = 4_000;

/**
 * Creates the client of one plain service endpoint.
 *
 * A call counts as sent once undici assigns it a connection, just before the
 * first byte is written. If the endpoint closes a pooled connection at that
 * moment, the call fails with `outcome-unknown`: the endpoint may have read it.
 *
 * @example
 * const booking = createHttpPlainService({url: 'http://10.0.0.7:8000'});
 * const response = await booking.call(
 *   {method: 'GET', path: '/shifts', headers: {}, body: new Uint8Array()},
 *   signal,
 * );
 */
export function createHttpPlainService(
  options: HttpPlainServiceOptions,
): HttpPlainService {
  const clock = systemClock();
  const baseUrl = new URL(options.url);
  const basePath = baseUrl.pathname.replace(/\/$/, '');
  const maxResponseBytes =
    options.maxResponseBytes ?? DEFAULT_MAX_RESPONSE_BYTES;
  const idleTimeoutMs = options.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS;
  const loadPath = options.loadPath ?? DEFAULT_LOAD_PATH;
  const ends = createResponseEnds();
  const connect = buildConnector({
    timeout: options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS,
  });
  const confirmEnd = createEndConfirmation({
    origin: baseUrl.origin,
    path: loadPath,
    connect,
    clock,
  });
  const pool = new Pool(baseUrl.origin, {
    connections: options.maxConnections ?? DEFAULT_MAX_CONNECTIONS,
    pipelining: 1,
    connect(connectOptions, callback) {
      connect(connectOptions, (...result) => {
        const [, socket] = result;
        if (socket) {
          ends.watch(socket);
        }
        callback(...result);
      });
    },
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    keepAliveMaxTimeout: KEEP_ALIVE_TIMEOUT_MS,
    headersTimeout: idleTimeoutMs,
    bodyTimeout: idleTimeoutMs,
  });

  function call(
    request: ServiceCall,
    signal: AbortSignal,
  ): Promise<ServiceResponse> {
    return new Promise((resolve, reject) => {
      if (signal.aborted) {
        reject(createError('cancelled', 'the call was cancelled', 'not-run'));
        return;
      }
      const exchange = createExchange(
        request.method,
        ends,
        confirmEnd,
        signal,
        maxResponseBytes,
        resolve,
        reject,
      );
      dispatchCall(request, exchange);
    });
  }

  function dispatchCall(request: ServiceCall, exchange: Exchange): void {
    try {
      pool.dispatch(
        {
          method: request.method as Dispatcher.HttpMethod,
          path: basePath + request.path,
          headers: removeHopByHopHeaders(request.headers),
          body: request.body.byteLength > 0 ? request.body : null,
        },
        exchange.handler,
      );
    } catch (error) {
      exchange.failUnsent(error);
    }
  }

  async function load(signal?: AbortSignal): Promise<LoadReport> {
    const request: ServiceCall = {
      method: 'GET',
      path: loadPath,
      headers: {},
      body: new Uint8Array(),
    };
    const response = await withTimeLimit(
      clock,
      LOAD_TIMEOUT_MS,
      signal,
      callSignal => call(request, callSignal),
    );
    return parseLoadReport(response);
  }

  return {
    call,
    load,
    dispose() {
      // Fails calls in flight: the owner must drain them before disposing.
      pool.destroy().catch(() => undefined);
    },
  };
}

/** Handles the events of one call, from queuing to completion. */
interface Exchange {
  readonly handler: Dispatcher.DispatchHandler;
  /** Fails a call that undici did not queue. */
  failUnsent(error: unknown): void;
}

function createExchange(
  method: string,
  ends: ResponseEnds,
  confirmEnd: EndConfirmation,
  signal: AbortSignal,
  maxResponseBytes: number,
  resolve: (response: ServiceResponse) => void,
  reject: (error: ServingError) => void,
): Exchange {
  const collector = createByteCollector();
  let status = 0;
  let framing: ResponseFraming = 'length';
  let headers: Record<string, string> = {};
  let isSent = false;
  let isSettled = false;
  let controller: Dispatcher.DispatchController | undefined;

  function settle(report: () => void): void {
    if (isSettled) {
      return;
    }
    isSettled = true;
    signal.removeEventListener('abort', onAbort);
    report();
  }

  function onAbort(): void {
    const run = isSent ? 'may-have-run' : 'not-run';
    settle(() =>
      reject(createError('cancelled', 'the call was cancelled', run)),
    );
    controller?.abort(new Error('cancelled'));
  }

  function fail(error: unknown): void {
    settle(() => reject(isSent ? sentError(error) : unsentError(error)));
  }

  function complete(): void {
    const body = new Uint8Array(collector.bytes());
    settle(() => resolve({status, headers, body}));
  }

  async function confirmAndComplete(): Promise<void> {
    if (await confirmEnd(signal)) {
      complete();
      return;
    }
    fail(new Error('the connection was closed, and no process listens'));
  }

  signal.addEventListener('abort', onAbort, {once: true});
  return {
    failUnsent(error) {
      settle(() => reject(unsentError(error)));
    },
    handler: {
      onRequestStart(newController) {
        controller = newController;
        if (isSettled) {
          // Cancelled while queued: aborting now ensures that no byte is sent.
          newController.abort(new Error('cancelled'));
          return;
        }
        if (isSent) {
          // undici restarts a call on another connection when it considers
          // the first connection idle. That connection may have delivered the
          // call, so a restart could run it twice.
          newController.abort(new Error('the connection was lost'));
          return;
        }
        isSent = true;
      },
      onResponseStart(responseController, statusCode, rawHeaders) {
        if (isInterimStatus(statusCode)) {
          return;
        }
        if (!isFinalStatus(statusCode)) {
          const error = new Error(`the response has status ${statusCode}`);
          fail(error);
          responseController.abort(error);
          return;
        }
        status = statusCode;
        framing = framingOf(method, statusCode, rawHeaders);
        headers = removeHopByHopHeaders(rawHeaders);
      },
      onResponseData(dataController, chunk) {
        if (collector.sizeBytes() + chunk.byteLength > maxResponseBytes) {
          const error = new Error(
            `the response exceeds ${maxResponseBytes} bytes`,
          );
          fail(error);
          dataController.abort(error);
          return;
        }
        collector.push(chunk);
      },
      onResponseEnd() {
        if (!ends.isComplete(framing)) {
          fail(new Error('the connection ended in the middle of the response'));
          return;
        }
        ends.closeIfSending();
        if (framing === 'close') {
          void confirmAndComplete();
          return;
        }
        complete();
      },
      onResponseError(_controller, error) {
        fail(error);
      },
    },
  };
}

function unsentError(error: unknown): ServingError {
  if (error instanceof errors.InvalidArgumentError) {
    return createError('bad-request', toErrorMessage(error), 'not-run', error);
  }
  const message = `could not send the call to the endpoint: ${toErrorMessage(error)}`;
  return createError('endpoint-unavailable', message, 'not-run', error);
}

function sentError(error: unknown): ServingError {
  const message = `the endpoint may have run the call: ${toErrorMessage(error)}`;
  return createError('outcome-unknown', message, 'may-have-run', error);
}

function createError(
  kind:
    | 'endpoint-unavailable'
    | 'outcome-unknown'
    | 'cancelled'
    | 'bad-request',
  message: string,
  run: RunState,
  cause?: unknown,
): ServingError {
  return new ServingError(kind, message, {run, cause});
}

function toErrorMessage(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
