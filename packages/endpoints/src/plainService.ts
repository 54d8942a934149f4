/** HTTP client of one plain service endpoint that always knows whether a call may have run. */
import {ServingError, type Disposable, type RunState} from '@skylarkfield/base';
import {errors, Pool, type Dispatcher} from 'undici';
import type {
  LoadReport,
  PlainService,
  ServiceCall,
  ServiceReply,
} from './contracts.js';
import {checkLoadReport} from './plainServiceLoad.js';
import {passedHeaders} from './plainServiceHeaders.js';

export interface HttpPlainServiceOptions {
  /** Root of the service, like `http://10.0.0.7:8000`. */
  readonly url: string;
  /** Connections kept to the endpoint; further calls wait here, unsent. */
  readonly connections?: number;
  readonly connectTimeoutMs?: number;
  /** The longest silence from the endpoint before a call is given up. */
  readonly silenceTimeoutMs?: number;
  /** The largest reply body that is taken in. */
  readonly maxReplyBytes?: number;
  /** Path of the load report. */
  readonly loadPath?: string;
}

/** The client owns its connections; disposing closes them. */
export interface HttpPlainService extends PlainService, Disposable {}

const DEFAULT_CONNECTIONS = 64;
const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;
const DEFAULT_SILENCE_TIMEOUT_MS = 300_000;
const DEFAULT_MAX_REPLY_BYTES = 1_048_576;
const DEFAULT_LOAD_PATH = '/load';
const LOAD_TIMEOUT_MS = 2_000;
/** An idle connection is dropped before common servers drop it, to lose fewer calls to that race. */
const KEEP_ALIVE_MS = 4_000;

/**
 * Makes the client of one plain service endpoint.
 *
 * A call counts as sent from the moment undici takes a connection for it, just
 * before it writes the first byte. A pooled connection that the endpoint closes
 * at that moment makes the call `outcome-unknown`: nothing proves that it was
 * not read.
 *
 * @example
 * const booking = createHttpPlainService({url: 'http://10.0.0.7:8000'});
 * const reply = await booking.call({method: 'GET', path: '/shifts', headers: {}, body: new Uint8Array()}, signal);
 */
export function createHttpPlainService(
  options: HttpPlainServiceOptions,
): HttpPlainService {
  const root = new URL(options.url);
  const basePath = root.pathname.replace(/\/$/, '');
  const maxReplyBytes = options.maxReplyBytes ?? DEFAULT_MAX_REPLY_BYTES;
  const silenceMs = options.silenceTimeoutMs ?? DEFAULT_SILENCE_TIMEOUT_MS;
  const pool = new Pool(root.origin, {
    connections: options.connections ?? DEFAULT_CONNECTIONS,
    pipelining: 1,
    connect: {
      timeout: options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS,
    },
    keepAliveTimeout: KEEP_ALIVE_MS,
    keepAliveMaxTimeout: KEEP_ALIVE_MS,
    headersTimeout: silenceMs,
    bodyTimeout: silenceMs,
  });

  function call(
    request: ServiceCall,
    signal: AbortSignal,
  ): Promise<ServiceReply> {
    return new Promise((resolve, reject) => {
      if (signal.aborted) {
        reject(failure('cancelled', 'the call was cancelled', 'not-run'));
        return;
      }
      const exchange = createExchange(signal, maxReplyBytes, resolve, reject);
      dispatchCall(request, exchange);
    });
  }

  function dispatchCall(request: ServiceCall, exchange: Exchange): void {
    try {
      pool.dispatch(
        {
          method: request.method as Dispatcher.HttpMethod,
          path: basePath + request.path,
          headers: passedHeaders(request.headers),
          body: request.body.byteLength > 0 ? request.body : null,
        },
        exchange.handler,
      );
    } catch (error) {
      exchange.refuse(error);
    }
  }

  async function load(signal?: AbortSignal): Promise<LoadReport> {
    const limit = AbortSignal.timeout(LOAD_TIMEOUT_MS);
    const both = signal ? AbortSignal.any([signal, limit]) : limit;
    const reply = await call(
      {
        method: 'GET',
        path: options.loadPath ?? DEFAULT_LOAD_PATH,
        headers: {},
        body: new Uint8Array(),
      },
      both,
    );
    return checkLoadReport(reply);
  }

  return {
    call,
    load,
    dispose() {
      // Destroying fails what is in flight; whoever drains does so before.
      pool.destroy().catch(() => undefined);
    },
  };
}

/** One call on the wire, from the queue to its end. */
interface Exchange {
  readonly handler: Dispatcher.DispatchHandler;
  /** Ends a call that undici did not even queue. */
  refuse(error: unknown): void;
}

function createExchange(
  signal: AbortSignal,
  maxReplyBytes: number,
  resolve: (reply: ServiceReply) => void,
  reject: (error: ServingError) => void,
): Exchange {
  const chunks: Buffer[] = [];
  let receivedBytes = 0;
  let status = 0;
  let headers: Record<string, string> = {};
  let isStarted = false;
  let isSettled = false;
  let controller: Dispatcher.DispatchController | undefined;

  function settle(finish: () => void): void {
    if (isSettled) {
      return;
    }
    isSettled = true;
    signal.removeEventListener('abort', onAbort);
    finish();
  }

  function onAbort(): void {
    const run = isStarted ? 'may-have-run' : 'not-run';
    settle(() => reject(failure('cancelled', 'the call was cancelled', run)));
    controller?.abort(new Error('cancelled'));
  }

  function fail(error: unknown): void {
    settle(() => reject(isStarted ? afterStart(error) : beforeStart(error)));
  }

  signal.addEventListener('abort', onAbort, {once: true});
  return {
    refuse(error) {
      settle(() => reject(beforeStart(error)));
    },
    handler: {
      onRequestStart(newController) {
        controller = newController;
        if (isSettled) {
          // Cancelled while it waited for a connection: aborting here keeps every byte back.
          newController.abort(new Error('cancelled'));
          return;
        }
        if (isStarted) {
          // undici starts a call anew on another connection when it takes the first for idle.
          // The first may have carried it, so a second run could double the call: refuse it.
          newController.abort(new Error('the connection was lost'));
          return;
        }
        isStarted = true;
      },
      onResponseStart(_controller, statusCode, rawHeaders) {
        if (statusCode < 200) {
          return;
        }
        status = statusCode;
        headers = passedHeaders(rawHeaders);
      },
      onResponseData(dataController, chunk) {
        receivedBytes += chunk.byteLength;
        if (receivedBytes > maxReplyBytes) {
          const error = new Error(`the reply is above ${maxReplyBytes} bytes`);
          fail(error);
          dataController.abort(error);
          return;
        }
        chunks.push(chunk);
      },
      onResponseEnd() {
        const body = new Uint8Array(Buffer.concat(chunks));
        settle(() => resolve({status, headers, body}));
      },
      onResponseError(_controller, error) {
        fail(error);
      },
    },
  };
}

function beforeStart(error: unknown): ServingError {
  if (error instanceof errors.InvalidArgumentError) {
    return failure('bad-request', describe(error), 'not-run', error);
  }
  const why = `no connection to the endpoint: ${describe(error)}`;
  return failure('endpoint-unavailable', why, 'not-run', error);
}

function afterStart(error: unknown): ServingError {
  const why = `the endpoint may have run the call: ${describe(error)}`;
  return failure('outcome-unknown', why, 'may-have-run', error);
}

function failure(
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

function describe(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
