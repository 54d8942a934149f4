/** HTTP routes for callers. */
import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import polka from 'polka';
import {
  createRequestBodyMemory,
  ServingError,
  toServingError,
  type Clock,
  type DrainGuard,
  type Logger,
} from '@skylarkfield/base';
import type {Customer, Service} from '@skylarkfield/records';
import type {InFlightCounter} from '@skylarkfield/base';
import type {HttpServer} from '../listener.js';
import type {ServingContext} from '../servingContext.js';
import type {EntrySettings} from '../settings.js';
import type {CustomerKeys} from './customerKeys.js';
import {createCallerSignal, failureOf, type Exchange} from './exchange.js';
import type {ResponseShape} from './modelResponse.js';
import {
  parseChatRequest,
  parseCompletionRequest,
  type ModelRequest,
} from './modelRequest.js';
import type {RequestMetrics, RequestType} from './requestMetrics.js';
import {sendProblem, toProblem} from './problem.js';
import {readBody} from './requestBody.js';
import {parseBearerKey} from './requestHeaders.js';
import type {ModelServer} from './modelServer.js';
import type {PlainServer} from './plainServer.js';

/** Whether this entry accepts requests: only when `ready` or `lingering`. */
export type Readiness = 'starting' | 'ready' | 'lingering' | 'leaving';

interface CallerServerOptions {
  readonly server: HttpServer;
  readonly serving: ServingContext;
  readonly customerKeys: CustomerKeys;
  readonly modelServer: ModelServer;
  readonly plainServer: PlainServer;
  readonly metrics: RequestMetrics;
  readonly limits: EntrySettings['limits'];
  readonly clock: Clock;
  readonly log: Logger;
  readonly inFlightCounter: InFlightCounter;
  readonly drainGuard: Pick<DrainGuard, 'onDidStop'>;
  readiness(): Readiness;
}

/** Labels of a request in its metrics and log line. */
interface RequestLabels {
  service: string;
  type: RequestType;
}

type Handler = (exchange: Exchange, labels: RequestLabels) => Promise<void>;

const requestParsers: Record<
  ResponseShape,
  (text: string, session: string | undefined) => ModelRequest
> = {chat: parseChatRequest, completion: parseCompletionRequest};

/** Number of largest legal bodies that find room together. */
const MIN_LARGEST_BODIES = 4;

/** Retry delay sent to callers while this entry rejects requests, in ms. */
export const NOT_SERVING_RETRY_MS = 1_000;

/**
 * Attaches the routes for callers to the HTTP server in `options`.
 *
 * @example
 * attachCallerRoutes(options);
 */
export function attachCallerRoutes(options: CallerServerOptions): void {
  const {serving, clock, log, metrics, limits} = options;
  const bodyMemory = createRequestBodyMemory(() =>
    Math.max(limits.allBodiesBytes, limits.bodyBytes * MIN_LARGEST_BODIES),
  );

  const app = polka({
    server: options.server,
    onNoMatch: (request, response) => {
      const error = new ServingError(
        'not-found',
        `no route for ${request.method} ${request.path}`,
      );
      sendProblem(response, toProblem(error, randomUUID()));
    },
    onError: (error, _request, response) => {
      sendProblem(response, toProblem(toServingError(error), randomUUID()));
    },
  });
  app.get('/health', (_request, response) => response.end('ok\n'));
  app.get('/ready', (_request, response) => {
    response.statusCode = options.readiness() === 'ready' ? 200 : 503;
    response.end(`${options.readiness()}\n`);
  });
  app.get('/v1/entries', wrapHandler(serveLookup));
  app.post('/v1/chat/completions', wrapHandler(createModelHandler('chat')));
  app.post('/v1/completions', wrapHandler(createModelHandler('completion')));
  app.all('/services/:name', wrapHandler(servePlainCall));
  app.all('/services/:name/*', wrapHandler(servePlainCall));
  options.server.on('request', app.handler as never);

  /** Wraps a handler with authentication, error responses, metrics and logs. */
  function wrapHandler(handler: Handler) {
    return async (request: IncomingMessage, response: ServerResponse) => {
      const id = randomUUID();
      const arrivedAt = clock.now();
      const labels: RequestLabels = {service: '', type: 'none'};
      let customer: Customer | undefined;
      let result = 'ok';
      options.inFlightCounter.begin();
      endInFlightOnClose(response);
      const signal = createCallerSignal(response, options.drainGuard);
      metrics.recordStart();
      response.setHeader('X-Request-Id', id);
      try {
        checkReadiness(request);
        customer = options.customerKeys.authenticate(
          parseBearerKey(request.headers),
        );
        await handler(
          {id, request, response, customer, signal, arrivedAt},
          labels,
        );
      } catch (error) {
        const failure = failureOf(toServingError(error), signal);
        result = failure.kind;
        sendFailure(request, response, failure, id);
      } finally {
        const durationMs = clock.now() - arrivedAt;
        metrics.recordEnd({...labels, result, durationMs});
        log.info(
          {
            requestId: id,
            customer: customer?.name,
            ...labels,
            method: request.method,
            result,
            durationMs: Math.round(durationMs * 100) / 100,
          },
          'request',
        );
      }
    };
  }

  /**
   * Counts a request as in flight until its response is closed. The response
   * may still be buffered for a slow reader when the handler returns: a stop
   * that closed the connection at that point would truncate the response.
   */
  function endInFlightOnClose(response: ServerResponse): void {
    response.once('close', () => options.inFlightCounter.end());
  }

  function checkReadiness(request: IncomingMessage): void {
    const readiness = options.readiness();
    if (readiness === 'ready' || readiness === 'lingering') {
      return;
    }
    // A leaving entry serves lookups, which direct callers to other entries.
    if (readiness === 'leaving' && isLookup(request)) {
      return;
    }
    const kind = readiness === 'leaving' ? 'leaving' : 'not-ready';
    throw new ServingError(kind, `this entry is ${readiness}`, {
      retryAfterMs: NOT_SERVING_RETRY_MS,
    });
  }

  function sendFailure(
    request: IncomingMessage,
    response: ServerResponse,
    failure: ServingError,
    id: string,
  ): void {
    if (failure.kind === 'internal') {
      log.error({requestId: id, error: failure.cause}, failure.message);
    }
    if (response.headersSent) {
      return;
    }
    const isNotServing =
      failure.kind === 'leaving' || failure.kind === 'not-ready';
    const entries = isNotServing ? serving.lookup({}) : undefined;
    const isLeaving = options.readiness() === 'leaving';
    if (isNotServing || isLeaving || !request.complete) {
      // On an open connection, the unread body would be parsed as a request.
      response.setHeader('Connection', 'close');
    }
    sendProblem(response, toProblem(failure, id, entries));
  }

  async function serveLookup(exchange: Exchange): Promise<void> {
    const url = new URL(exchange.request.url ?? '/', 'http://entry');
    const result = serving.lookup({
      customer: exchange.customer.name,
      ...optionalField('affinity', url.searchParams.get('affinity')),
      ...optionalField('failureDomain', url.searchParams.get('failure-domain')),
    });
    const body = JSON.stringify(result);
    const maxAgeSeconds = Math.floor(result.ttlMs / 1000);
    exchange.response.writeHead(200, {
      'Content-Type': 'application/json',
      'Cache-Control': `private, max-age=${maxAgeSeconds}`,
    });
    exchange.response.end(body);
  }

  function createModelHandler(shape: ResponseShape): Handler {
    return async (exchange, labels) => {
      await withBody(exchange, async body => {
        const session = exchange.request.headers['x-session-id'];
        const request = requestParsers[shape](
          Buffer.from(body).toString('utf8'),
          typeof session === 'string' ? session : undefined,
        );
        labels.service = request.service;
        labels.type = 'model';
        const service = findService(exchange, request.service, 'model');
        await options.modelServer.serve(exchange, request, service, shape);
      });
    };
  }

  /** Reads the body and keeps its memory until the request has been served. */
  async function withBody(
    {request}: Exchange,
    serve: (bytes: Uint8Array) => Promise<void>,
  ): Promise<void> {
    const body = await readBody(request, limits.bodyBytes, bodyMemory);
    try {
      await serve(body.bytes);
    } finally {
      body.dispose();
    }
  }

  async function servePlainCall(
    exchange: Exchange,
    labels: RequestLabels,
  ): Promise<void> {
    const {name, path} = splitServicePath(exchange.request.url ?? '/');
    labels.service = name;
    labels.type = 'plain';
    const service = findService(exchange, name, 'plain');
    await withBody(exchange, body =>
      options.plainServer.serve(exchange, service, path, body),
    );
  }

  function findService(
    exchange: Exchange,
    name: string,
    type: Service['type'],
  ): Service {
    const service = serving.configuration.get('service', name);
    if (service === undefined || service.type !== type) {
      throw new ServingError(
        'unknown-service',
        `there is no ${type} service named ${JSON.stringify(name)}`,
      );
    }
    const {services} = exchange.customer;
    if (services.length > 0 && !services.includes(name)) {
      throw new ServingError(
        'forbidden',
        `the key does not permit calls to ${name}`,
      );
    }
    return service;
  }
}

const SERVICES_PREFIX = '/services/';

/**
 * Splits `/services/booking/slots?day=3` into `booking` and `/slots?day=3`,
 * without decoding escapes.
 */
function splitServicePath(url: string): {name: string; path: string} {
  const nameAndPath = url.slice(SERVICES_PREFIX.length);
  const nameLength = nameAndPath.search(/[/?]/);
  if (nameLength === -1) {
    return {name: nameAndPath, path: '/'};
  }
  const path = nameAndPath.slice(nameLength);
  return {
    name: nameAndPath.slice(0, nameLength),
    path: path.startsWith('/') ? path : `/${path}`,
  };
}

function isLookup(request: IncomingMessage): boolean {
  return (request.url ?? '').startsWith('/v1/entries');
}

function optionalField<K extends string>(
  name: K,
  value: string | null,
): Partial<Record<K, string>> {
  if (value === null) {
    return {};
  }
  return {[name]: value} as Partial<Record<K, string>>;
}
