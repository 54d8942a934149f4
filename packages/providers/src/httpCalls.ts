/** HTTP client whose errors tell whether a request may have taken effect. */
import {Agent, buildConnector, type Dispatcher} from 'undici';
import {
  endPausedResponses,
  isFinalStatus,
  readLines,
  readText,
  resetOnDestroy,
  ServingError,
  systemClock,
  toDisposable,
  type Clock,
  type Disposable,
  type ReadBounds,
} from '@skylarkfield/base';

export interface HttpResponse {
  readonly status: number;
  readonly headers: Dispatcher.ResponseData['headers'];
  readonly text: string;
}

export interface HttpRequest {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  /** Whether an interrupted request may have changed state at the server. */
  readonly isWrite: boolean;
  /**
   * Whether the request gets a connection of its own, on which no answer to an
   * earlier request can arrive.
   */
  readonly isIsolated?: boolean;
  readonly signal?: AbortSignal;
}

export interface HttpClient extends Disposable {
  send(request: HttpRequest): Promise<HttpResponse>;
  /** Reads JSON lines until the response ends or the result is disposed. */
  stream(path: string, listener: JsonLineListener): Disposable;
}

export interface JsonLineListener {
  onDidOpen(): void;
  onDidLine(value: unknown): void;
  /** The status is 0 when there was no response. */
  onDidEnd(status: number, retryAfterMs: number): void;
}

const CONNECT_TIMEOUT_MS = 1000;
const KEEP_ALIVE_MS = 30_000;

/**
 * What a client is used for. `objects`: reads and conditional writes, which the
 * server checks, also if they arrive late. `commands`: calls that must not take
 * effect once their sender has given them up.
 */
export type HttpClientPurpose = 'objects' | 'commands';

/** Properties of a client that depend on its purpose. */
interface ClientTraits {
  /** Bounds of a response, and of one line of a stream. */
  readonly bounds: ReadBounds;
  /**
   * Whether connections are reset rather than closed in order, so that what a
   * network partition holds up is lost.
   */
  readonly resetsConnections: boolean;
}

const clientTraits: Readonly<Record<HttpClientPurpose, ClientTraits>> = {
  // The largest responses are lists of objects of up to 1 MiB each; pages of lists
  // end at about 1 MB. A call that waits for changes takes up to 30 s, and its
  // head may come before them.
  objects: {
    bounds: {maxBytes: 16 * 1024 * 1024, timeoutMs: 40_000},
    resetsConnections: false,
  },
  // Responses tell only whether a command was accepted.
  commands: {
    bounds: {maxBytes: 64 * 1024, timeoutMs: 10_000},
    resetsConnections: true,
  },
};

/** Codes of connect errors: no byte of the request was sent. */
const CONNECT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * Creates a client for one base URL, with a separate connection pool.
 *
 * @example
 * const client = createHttpClient('http://10.0.0.2:7000');
 * const response = await client.send({method: 'GET', path: '/cloud/offers', isWrite: false});
 */
export function createHttpClient(
  url: string,
  purpose: HttpClientPurpose = 'objects',
): HttpClient {
  const {bounds, resetsConnections} = clientTraits[purpose];
  const clock = systemClock();
  // No timeouts of heads or between bytes: callers set deadlines, and a watch may
  // be idle indefinitely.
  const dispatcher = new Agent({
    connect: createConnector(resetsConnections),
    keepAliveTimeout: KEEP_ALIVE_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const {origin, pathname} = new URL(url);
  const pathPrefix = pathname.replace(/\/$/, '');

  return {
    async send({method, path, headers, body, isWrite, isIsolated, signal}) {
      try {
        const response = await dispatcher.request({
          origin,
          path: `${pathPrefix}${path}`,
          method,
          headers: {'content-type': 'application/json', ...headers},
          body,
          ...(isIsolated && {reset: true}),
          signal,
        });
        const text = await readText(response.body, bounds, clock);
        if (!isFinalStatus(response.statusCode)) {
          throw new Error(`the response has status ${response.statusCode}`);
        }
        return {status: response.statusCode, headers: response.headers, text};
      } catch (error) {
        throw transportError(error, isWrite);
      }
    },
    stream(path, listener) {
      const controller = new AbortController();
      const target = {origin, path: `${pathPrefix}${path}`};
      void readJsonLines(
        {...target, signal: controller.signal},
        {dispatcher, bounds, clock},
        listener,
      );
      return toDisposable(() => controller.abort());
    },
    dispose() {
      void dispatcher.destroy();
    },
  };
}

function createConnector(resetsConnections: boolean): buildConnector.connector {
  const connect = buildConnector({timeout: CONNECT_TIMEOUT_MS});
  return (options, callback) =>
    connect(options, (...connectResult) => {
      const [, socket] = connectResult;
      if (socket) {
        endPausedResponses(socket);
      }
      if (socket && resetsConnections) {
        resetOnDestroy(socket);
      }
      callback(...connectResult);
    });
}

async function readJsonLines(
  target: {
    readonly origin: string;
    readonly path: string;
    readonly signal: AbortSignal;
  },
  reader: {
    readonly dispatcher: Dispatcher;
    readonly bounds: ReadBounds;
    readonly clock: Clock;
  },
  listener: JsonLineListener,
): Promise<void> {
  const {signal} = target;
  const {dispatcher, bounds, clock} = reader;
  let status = 0;
  let retryAfterMs = 0;
  const headController = new AbortController();
  const headTimer = clock.after(bounds.timeoutMs, () => headController.abort());
  try {
    const response = await dispatcher.request({
      ...target,
      method: 'GET',
      signal: AbortSignal.any([signal, headController.signal]),
    });
    headTimer.dispose();
    status = response.statusCode;
    retryAfterMs = parseRetryAfterMs(response.headers);
    if (status !== 200) {
      await readText(response.body, clientTraits.commands.bounds, clock);
    } else {
      listener.onDidOpen();
      for await (const line of readLines(response.body, bounds, clock)) {
        if (signal.aborted) {
          break;
        }
        listener.onDidLine(JSON.parse(line));
      }
    }
  } catch {
    // Ignores the error: the owner of the stream reopens it on any error.
  } finally {
    headTimer.dispose();
  }
  if (!signal.aborted) {
    listener.onDidEnd(status, retryAfterMs);
  }
}

function transportError(error: unknown, isWrite: boolean): ServingError {
  const code = (error as {code?: string}).code ?? '';
  const isUnsent = CONNECT_ERROR_CODES.has(code);
  const message = error instanceof Error ? error.message : String(error);
  if (isUnsent || !isWrite) {
    return new ServingError('platform-unavailable', message, {cause: error});
  }
  return new ServingError('outcome-unknown', message, {cause: error});
}

/**
 * Throws if the status of a response is not one of the expected statuses.
 *
 * 429 and 503 are sent before a request takes effect; other server errors may
 * be sent after the request took effect.
 *
 * @example
 * checkStatus(response, [200, 404], true);
 */
export function checkStatus(
  response: HttpResponse,
  expectedStatuses: readonly number[],
  isWrite: boolean,
): void {
  if (expectedStatuses.includes(response.status)) {
    return;
  }
  const message = `the platform responded with status ${response.status}`;
  const retryAfterMs = parseRetryAfterMs(response.headers);
  switch (response.status) {
    case 412:
      throw new ServingError('version-conflict', message);
    case 413:
      throw new ServingError('too-large', message);
    case 429:
      throw new ServingError('overloaded', message, {retryAfterMs});
    case 503:
      throw new ServingError('platform-unavailable', message, {retryAfterMs});
  }
  if (response.status >= 500) {
    throw new ServingError(
      isWrite ? 'outcome-unknown' : 'platform-unavailable',
      message,
    );
  }
  throw new ServingError('bad-request', `${message}: ${response.text}`);
}

/** Converts a Retry-After header in seconds to milliseconds; 0 without one. */
function parseRetryAfterMs(headers: HttpResponse['headers']): number {
  const seconds = Number(headerValue(headers, 'retry-after') ?? 0);
  return Number.isFinite(seconds) ? seconds * 1000 : 0;
}

/**
 * Returns the first value of a header.
 *
 * @example
 * const version = Number(headerValue(response.headers, 'x-store-version'));
 */
export function headerValue(
  headers: HttpResponse['headers'],
  name: string,
): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}
