/** Admin HTTP routes: health, metrics, state dump and decisions. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import polka from 'polka';
import {
  ServingError,
  toServingError,
  type DecisionLog,
  type DumpRegistry,
  type Metrics,
} from '@skylarkfield/base';
import {isSameKey} from '@skylarkfield/protocol';
import {sendProblem, toProblem} from '../callers/problem.js';
import {parseBearerKey} from '../callers/requestHeaders.js';
import type {HttpServer} from '../listener.js';

interface AdminServerOptions {
  readonly server: HttpServer;
  readonly key: string;
  readonly dumps: DumpRegistry;
  readonly decisions: DecisionLog;
  readonly metrics: Metrics;
}

type Handler = (response: ServerResponse) => Promise<void> | void;

/**
 * Attaches the admin routes; all but `/health` require the admin key.
 *
 * @example
 * attachAdminRoutes({server, key, dumps, decisions, metrics});
 */
export function attachAdminRoutes(options: AdminServerOptions): void {
  const app = polka({
    server: options.server,
    onNoMatch: (_request, response) => {
      sendProblem(
        response,
        toProblem(new ServingError('not-found', 'no such route'), ''),
      );
    },
  });
  app.get('/health', (_request, response) => response.end('ok\n'));
  app.get('/dump', requireAdminKey(sendDump));
  app.get('/decisions', requireAdminKey(sendDecisions));
  app.get('/metrics', requireAdminKey(sendMetrics));
  options.server.on('request', app.handler as never);

  function requireAdminKey(handler: Handler) {
    return async (request: IncomingMessage, response: ServerResponse) => {
      try {
        checkAdminKey(request);
        await handler(response);
      } catch (error) {
        sendProblem(response, toProblem(toServingError(error), ''));
      }
    };
  }

  function checkAdminKey(request: IncomingMessage): void {
    const givenKey = parseBearerKey(request.headers);
    if (givenKey === undefined || !isSameKey(givenKey, options.key)) {
      throw new ServingError('unauthenticated', 'the admin key is required');
    }
  }

  function sendDump(response: ServerResponse): void {
    sendJson(response, options.dumps.collect());
  }

  function sendDecisions(response: ServerResponse): void {
    sendJson(response, options.decisions.list());
  }

  async function sendMetrics(response: ServerResponse): Promise<void> {
    const text = await options.metrics.render();
    response.setHeader('Content-Type', 'text/plain; version=0.0.4');
    response.end(text);
  }
}

function sendJson(response: ServerResponse, value: unknown): void {
  response.setHeader('Content-Type', 'application/json');
  response.end(JSON.stringify(value, replaceCollections, 2));
}

/** Replacer for `JSON.stringify`, which would write maps and sets as `{}`. */
function replaceCollections(_name: string, value: unknown): unknown {
  if (value instanceof Map) {
    return Object.fromEntries(value);
  }
  return value instanceof Set ? [...value] : value;
}
