/** A model engine over HTTP: server-sent events for answers, JSON for the rest. */
import {
  ServingError,
  checkShape,
  parseJson,
  type Disposable,
} from '@skylarkfield/base';
import {createParser} from 'eventsource-parser';
import {Pool} from 'undici';
import * as z from 'zod';
import type {Engine, Generation, GenerationEvent} from './contracts.js';
import {
  cacheEventsShape,
  cacheExportShape,
  loadReportShape,
  parseGenerationEvent,
  refusalShape,
  runningShape,
} from './engineShapes.js';
import {toSendError} from './sendErrors.js';

/** The most that one event of an answer may take, in characters. */
const MAX_EVENT_CHARACTERS = 64 * 1024;

export interface HttpEngineOptions {
  /** Root of the engine, like `http://10.0.0.7:9000`. */
  readonly url: string;
  /** Milliseconds to connect. */
  readonly connectTimeoutMs?: number;
  /** Milliseconds that a call other than an answer may take. */
  readonly callTimeoutMs?: number;
}

/** An engine whose connections have to be closed by its owner. */
export type HttpEngine = Engine & Disposable;

type Body = Awaited<ReturnType<Pool['request']>>['body'];

/**
 * Makes a client of one engine. It never repeats a request by itself: what a
 * repeat costs and whether it is allowed is for the stream runner to decide.
 *
 * @example
 * const engine = createHttpEngine({url: 'http://10.0.0.7:9000'});
 * for await (const event of engine.generate(request, signal)) { show(event); }
 */
export function createHttpEngine(options: HttpEngineOptions): HttpEngine {
  const {connectTimeoutMs = 1000, callTimeoutMs = 5000} = options;
  const pool = new Pool(options.url, {
    connections: null,
    pipelining: 1,
    connect: {timeout: connectTimeoutMs},
    // A stalled answer is the stream runner's to notice: it knows how fast
    // this engine's tokens come.
    bodyTimeout: 0,
    headersTimeout: 0,
  });

  async function call<T extends z.ZodType>(
    method: 'GET' | 'POST',
    path: string,
    shape: T,
    body?: unknown,
    signal?: AbortSignal,
  ): Promise<z.output<T>> {
    const what = `${method} ${path}`;
    try {
      const reply = await pool.request({
        method,
        path,
        headers: body === undefined ? {} : {'content-type': 'application/json'},
        body: body === undefined ? null : JSON.stringify(body),
        headersTimeout: callTimeoutMs,
        bodyTimeout: callTimeoutMs,
        signal: signal ?? null,
      });
      if (reply.statusCode !== 200) {
        throw await refusal(reply.statusCode, reply.body);
      }
      const value = parseJson(
        await reply.body.text(),
        'protocol-violation',
        what,
      );
      return checkShape(shape, value, 'protocol-violation', what);
    } catch (error) {
      throw toSendError(error, signal, what);
    }
  }

  async function* generate(
    request: Generation,
    signal: AbortSignal,
  ): AsyncGenerator<GenerationEvent> {
    const what = `generate ${request.attempt}`;
    try {
      const reply = await pool.request({
        method: 'POST',
        path: '/v1/generate',
        headers: {
          'content-type': 'application/json',
          priority: `u=${request.urgency}`,
        },
        body: JSON.stringify(request),
        signal,
      });
      if (reply.statusCode !== 200) {
        throw await refusal(reply.statusCode, reply.body);
      }
      yield* readEvents(reply.body);
    } catch (error) {
      throw toSendError(error, signal, what);
    }
  }

  return {
    generate,
    async cancel(attempt) {
      await call('POST', '/v1/cancel', emptyShape, {attempt});
    },
    load: signal => call('GET', '/v1/load', loadReportShape, undefined, signal),
    cacheEvents: (after, signal) =>
      call(
        'GET',
        `/v1/cache-events?after=${after}`,
        cacheEventsShape,
        undefined,
        signal,
      ),
    exportCache: (attempt, signal) =>
      call('POST', '/v1/export', cacheExportShape, {attempt}, signal),
    importCache: (from, signal) =>
      call('POST', '/v1/import', cacheExportShape, from, signal),
    async order(order, signal) {
      await call('POST', '/v1/order', emptyShape, order, signal);
    },
    running: signal =>
      call('GET', '/v1/running', runningShape, undefined, signal),
    dispose() {
      void pool.destroy();
    },
  };
}

/** An answer of which only the success matters. */
const emptyShape = z.object({});

/** What the engine said when it refused; an unknown answer is a failure of the engine. */
async function refusal(status: number, body: Body): Promise<ServingError> {
  const text = await body.text();
  try {
    const {kind, title} = refusalShape.parse(JSON.parse(text));
    return new ServingError(kind, `the engine refused: ${title}`);
  } catch (error) {
    return new ServingError(
      'endpoint-failed',
      `the engine answered with status ${status}`,
      {cause: error},
    );
  }
}

async function* readEvents(body: Body): AsyncGenerator<GenerationEvent> {
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
