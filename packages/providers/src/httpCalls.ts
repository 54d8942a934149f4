/** One HTTP call to the platform, with errors told apart by whether it may have had an effect. */
import {createInterface} from 'node:readline';
import {Agent, type Dispatcher} from 'undici';
import {ServingError, toDisposable, type Disposable} from '@skylarkfield/base';

export interface HttpReply {
  readonly status: number;
  readonly headers: Dispatcher.ResponseData['headers'];
  readonly text: string;
}

export interface HttpCall {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  /** Whether a call that broke off may have taken effect. */
  readonly hasEffect: boolean;
  readonly signal?: AbortSignal;
}

export interface HttpCaller extends Disposable {
  send(call: HttpCall): Promise<HttpReply>;
  /** Reads a reply of JSON lines until it ends or is disposed. */
  stream(path: string, listener: LineListener): Disposable;
}

export interface LineListener {
  onDidOpen(): void;
  onDidLine(value: unknown): void;
  /** The status is 0 when no reply came. */
  onDidEnd(status: number, retryAfterMs: number): void;
}

const CONNECT_TIMEOUT_MS = 1000;
const KEEP_ALIVE_MS = 30_000;

/** Errors of connecting: not a byte of the request has left. */
const UNSENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * Makes a caller for one base address, with connections of its own.
 *
 * @example
 * const caller = createHttpCaller('http://10.0.0.2:7000');
 * const reply = await caller.send({method: 'GET', path: '/cloud/offers', hasEffect: false});
 */
export function createHttpCaller(url: string): HttpCaller {
  // Deadlines are the client's; a watch may be silent for as long as it likes.
  const dispatcher = new Agent({
    connect: {timeout: CONNECT_TIMEOUT_MS},
    keepAliveTimeout: KEEP_ALIVE_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const {origin, pathname} = new URL(url);
  const prefix = pathname.replace(/\/$/, '');

  return {
    async send({method, path, headers, body, hasEffect, signal}) {
      try {
        const reply = await dispatcher.request({
          origin,
          path: `${prefix}${path}`,
          method,
          headers: {'content-type': 'application/json', ...headers},
          body,
          signal,
        });
        const text = await reply.body.text();
        return {status: reply.statusCode, headers: reply.headers, text};
      } catch (error) {
        throw brokenCall(error, hasEffect);
      }
    },
    stream(path, listener) {
      const controller = new AbortController();
      const target = {origin, path: `${prefix}${path}`};
      void readLines(target, dispatcher, controller.signal, listener);
      return toDisposable(() => controller.abort());
    },
    dispose() {
      void dispatcher.destroy();
    },
  };
}

async function readLines(
  target: {readonly origin: string; readonly path: string},
  dispatcher: Dispatcher,
  signal: AbortSignal,
  listener: LineListener,
): Promise<void> {
  let status = 0;
  let retryAfterMs = 0;
  try {
    const reply = await dispatcher.request({...target, method: 'GET', signal});
    status = reply.statusCode;
    retryAfterMs = retryAfter(reply.headers);
    if (status !== 200) {
      await reply.body.dump();
    } else {
      listener.onDidOpen();
      const lines = createInterface({input: reply.body, crlfDelay: Infinity});
      for await (const line of lines) {
        if (signal.aborted) {
          break;
        }
        listener.onDidLine(JSON.parse(line));
      }
    }
  } catch {
    // How a stream broke off does not matter: its owner opens it again.
  }
  if (!signal.aborted) {
    listener.onDidEnd(status, retryAfterMs);
  }
}

function brokenCall(error: unknown, hasEffect: boolean): ServingError {
  const code = (error as {code?: string}).code ?? '';
  const isUnsent = UNSENT_CODES.has(code);
  const message = error instanceof Error ? error.message : String(error);
  if (isUnsent || !hasEffect) {
    return new ServingError('platform-unavailable', message, {cause: error});
  }
  return new ServingError('outcome-unknown', message, {cause: error});
}

/**
 * Throws for a status outside the expected ones.
 *
 * 429 and 503 are refusals before any effect; another server error may have
 * come after it.
 *
 * @example
 * checkStatus(reply, [200, 404], true);
 */
export function checkStatus(
  reply: HttpReply,
  expected: readonly number[],
  hasEffect: boolean,
): void {
  if (expected.includes(reply.status)) {
    return;
  }
  const message = `the platform answered ${reply.status}`;
  const retryAfterMs = retryAfter(reply.headers);
  switch (reply.status) {
    case 412:
      throw new ServingError('version-conflict', message);
    case 413:
      throw new ServingError('too-large', message);
    case 429:
      throw new ServingError('overloaded', message, {retryAfterMs});
    case 503:
      throw new ServingError('platform-unavailable', message, {retryAfterMs});
  }
  if (reply.status >= 500) {
    throw new ServingError(
      hasEffect ? 'outcome-unknown' : 'platform-unavailable',
      message,
    );
  }
  throw new ServingError('bad-request', `${message}: ${reply.text}`);
}

/** Milliseconds of a Retry-After header in seconds; 0 without one. */
function retryAfter(headers: HttpReply['headers']): number {
  const seconds = Number(header(headers, 'retry-after') ?? 0);
  return Number.isFinite(seconds) ? seconds * 1000 : 0;
}

/**
 * The first value of a header.
 *
 * @example
 * const version = Number(header(reply.headers, 'x-store-version'));
 */
export function header(
  headers: HttpReply['headers'],
  name: string,
): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}
