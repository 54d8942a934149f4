/** HTTP client of a model engine; answers are streams of server-sent events. */
import {
  ServingError,
  validateShape,
  parseJson,
  type Disposable,
} from '@skylarkfield/base';
import {createParser} from 'eventsource-parser';
import {Pool} from 'undici';
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

type ResponseBody = Awaited<ReturnType<Pool['request']>>['body'];

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
  const pool = new Pool(options.url, {
    connections: null,
    pipelining: 1,
    connect: {timeout: connectTimeoutMs},
    // Stalled answers are detected by the stream runner, which measures the
    // token rate of this engine.
    bodyTimeout: 0,
    headersTimeout: 0,
  });

  async function call<T extends z.ZodType>(
    method: 'GET' | 'POST',
    path: string,
    schema: T,
    body?: unknown,
    signal?: AbortSignal,
  ): Promise<z.output<T>> {
    const operation = `${method} ${path}`;
    try {
      const response = await pool.request({
        method,
        path,
        headers: body === undefined ? {} : {'content-type': 'application/json'},
        body: body === undefined ? null : JSON.stringify(body),
        headersTimeout: callTimeoutMs,
        bodyTimeout: callTimeoutMs,
        signal: signal ?? null,
      });
      if (response.statusCode !== 200) {
        throw await readErrorResponse(response.statusCode, response.body);
      }
      const value = parseJson(
        await response.body.text(),
        'protocol-violation',
        operation,
      );
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
        throw await readErrorResponse(response.statusCode, response.body);
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

/** Accepts any object, for responses whose content is ignored. */
const ignoredResponseSchema = z.object({});

/** Reads an error response; malformed content becomes `endpoint-failed`. */
async function readErrorResponse(
  status: number,
  body: ResponseBody,
): Promise<ServingError> {
  const text = await body.text();
  try {
    const {kind, title} = errorResponseSchema.parse(JSON.parse(text));
    return new ServingError(kind, `the engine rejected the request: ${title}`);
  } catch (error) {
    return new ServingError(
      'endpoint-failed',
      `the engine responded with status ${status}`,
      {cause: error},
    );
  }
}

async function* readEvents(
  body: ResponseBody,
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
