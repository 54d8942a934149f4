/** HTTP client of a model engine; answers are streams of server-sent events. */
import {
  endPausedResponses,
  isFinalStatus,
  ServingError,
  isServingError,
  validateShape,
  parseJson,
  readText,
  systemClock,
  withTimeLimit,
  type Disposable,
} from '@skylarkfield/base';
import {createParser} from 'eventsource-parser';
import {buildConnector, Pool} from 'undici';
import * as z from 'zod';
import type {Engine, GenerationRequest, GenerationEvent} from './contracts.js';
import {
  cacheEventsSchema,
  cacheExportSchema,
  loadReportSchema,
  parseGenerationEvent,
  errorResponseSchema,
  runningStateSchema,
} from './engineSchemas.js';
import {toRequestError} from './requestErrors.js';

/** Maximum size of one server-sent event, in characters. */
const MAX_EVENT_CHARACTERS = 64 * 1024;

/**
 * Maximum size of a response other than an answer, in bytes. The largest ones list
 * the ids of all attempts at an engine.
 */
const MAX_RESPONSE_BYTES = 1024 * 1024;

/** Maximum size of a list of cache events, in bytes; it may name every block. */
const MAX_CACHE_EVENTS_BYTES = 8 * 1024 * 1024;

/** Maximum size of an error response, in bytes. */
const MAX_ERROR_BYTES = 64 * 1024;

export interface HttpEngineOptions {
  /** Base URL of the engine, like `http://10.0.0.7:9000`. */
  readonly url: string;
  /** Timeout of a connection attempt in milliseconds. */
  readonly connectTimeoutMs?: number;
  /** Timeout in milliseconds of calls other than `generate`. */
  readonly callTimeoutMs?: number;
}

/** Engine client whose owner must dispose it to close the connections. */
export type HttpEngine = Engine & Disposable;

type EngineResponse = Awaited<ReturnType<Pool['request']>>;

/**
 * Creates a client of one engine. It never retries a request: the stream runner
 * decides whether a retry is allowed and worth its cost.
 *
 * @example
 * const engine = createHttpEngine({url: 'http://10.0.0.7:9000'});
 * for await (const event of engine.generate(request, signal)) { log(event); }
 */
export function createHttpEngine(options: HttpEngineOptions): HttpEngine {
  const {connectTimeoutMs = 1000, callTimeoutMs = 5000} = options;
  const clock = systemClock();
  const pool = new Pool(options.url, {
    connections: null,
    pipelining: 1,
    connect: createConnector(connectTimeoutMs),
    // Stalled answers are detected by the stream runner, which measures the
    // token rate of this engine.
    bodyTimeout: 0,
    headersTimeout: 0,
  });

  /** Reads an error response; one without end becomes `endpoint-failed`. */
  async function readErrorResponse({
    statusCode,
    body,
  }: EngineResponse): Promise<ServingError> {
    const bounds = {maxBytes: MAX_ERROR_BYTES, timeoutMs: callTimeoutMs};
    try {
      const text = await readText(body, bounds, clock);
      return parseErrorResponse(statusCode, text);
    } catch (error) {
      if (!isServingError(error, 'protocol-violation')) {
        throw error;
      }
      return createStatusError(statusCode, error);
    }
  }

  async function call<T extends z.ZodType>(
    method: 'GET' | 'POST',
    path: string,
    schema: T,
    body?: unknown,
    signal?: AbortSignal,
    maxBytes = MAX_RESPONSE_BYTES,
  ): Promise<z.output<T>> {
    const operation = `${method} ${path}`;
    try {
      const text = await withTimeLimit(
        clock,
        callTimeoutMs,
        signal,
        async callSignal => {
          const response = await pool.request({
            method,
            path,
            headers:
              body === undefined ? {} : {'content-type': 'application/json'},
            body: body === undefined ? null : JSON.stringify(body),
            signal: callSignal,
          });
          if (response.statusCode !== 200) {
            throw await readErrorResponse(response);
          }
          const bounds = {maxBytes, timeoutMs: callTimeoutMs};
          return readText(response.body, bounds, clock);
        },
      );
      const value = parseJson(text, 'protocol-violation', operation);
      return validateShape(schema, value, 'protocol-violation', operation);
    } catch (error) {
      throw toRequestError(error, signal, operation);
    }
  }

  async function* generate(
    request: GenerationRequest,
    signal: AbortSignal,
  ): AsyncGenerator<GenerationEvent> {
    const operation = `generate ${request.attempt}`;
    try {
      const response = await pool.request({
        method: 'POST',
        path: '/v1/generate',
        headers: {
          'content-type': 'application/json',
          priority: `u=${request.urgency}`,
        },
        body: JSON.stringify(request),
        signal,
      });
      if (response.statusCode !== 200) {
        throw await readErrorResponse(response);
      }
      yield* readEvents(response.body);
    } catch (error) {
      throw toRequestError(error, signal, operation);
    }
  }

  return {
    generate,
    async cancel(attempt) {
      await call('POST', '/v1/cancel', ignoredResponseSchema, {attempt});
    },
    load: signal =>
      call('GET', '/v1/load', loadReportSchema, undefined, signal),
    readCacheEvents: (afterSequence, signal) =>
      call(
        'GET',
        `/v1/cache-events?after=${afterSequence}`,
        cacheEventsSchema,
        undefined,
        signal,
        MAX_CACHE_EVENTS_BYTES,
      ),
    exportCache: (attempt, signal) =>
      call('POST', '/v1/export', cacheExportSchema, {attempt}, signal),
    importCache: (source, signal) =>
      call('POST', '/v1/import', cacheExportSchema, source, signal),
    async sendCommand(command, signal) {
      await call('POST', '/v1/order', ignoredResponseSchema, command, signal);
    },
    readRunningState: signal =>
      call('GET', '/v1/running', runningStateSchema, undefined, signal),
    dispose() {
      void pool.destroy();
    },
  };
}

function createConnector(timeoutMs: number): buildConnector.connector {
  const connect = buildConnector({timeout: timeoutMs});
  return (options, callback) =>
    connect(options, (...result) => {
      const [, socket] = result;
      if (socket) {
        endPausedResponses(socket);
      }
      callback(...result);
    });
}

/** Accepts any object, for responses whose content is ignored. */
const ignoredResponseSchema = z.object({});

/** Parses an error response; malformed content becomes `endpoint-failed`. */
function parseErrorResponse(status: number, text: string): ServingError {
  if (!isFinalStatus(status)) {
    return new ServingError(
      'protocol-violation',
      `the engine responded with status ${status}`,
    );
  }
  try {
    const {kind, title} = errorResponseSchema.parse(JSON.parse(text));
    return new ServingError(kind, `the engine rejected the request: ${title}`);
  } catch (error) {
    return createStatusError(status, error);
  }
}

function createStatusError(status: number, cause: unknown): ServingError {
  return new ServingError(
    'endpoint-failed',
    `the engine responded with status ${status}`,
    {cause},
  );
}

async function* readEvents(
  body: EngineResponse['body'],
): AsyncGenerator<GenerationEvent> {
  const events: GenerationEvent[] = [];
  const decoder = new TextDecoder();
  const parser = createParser({
    maxBufferSize: MAX_EVENT_CHARACTERS,
    onEvent: message => events.push(parseGenerationEvent(message.data)),
    onError(error) {
      throw new ServingError('protocol-violation', error.message);
    },
  });
  for await (const chunk of body) {
    parser.feed(decoder.decode(chunk as Uint8Array, {stream: true}));
    yield* events.splice(0);
  }
}
