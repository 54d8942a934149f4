/** Small helpers for the stand-in's HTTP routes. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Faults} from './faults.js';
import {
  errorAnswers,
  parseJson,
  ServingError,
  toServingError,
} from '@skylarkfield/base';

const MAX_BODY_BYTES = 2_000_000;

/**
 * Reads a request's body as JSON; an empty one is undefined.
 *
 * @example
 * const wanted = checkShape(startShape, await readJson(request), 'bad-request');
 */
export async function readJson(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > MAX_BODY_BYTES) {
      throw new ServingError('too-large', 'the body is too large');
    }
    chunks.push(chunk);
  }
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? undefined : parseJson(text, 'bad-request', 'body');
}

/**
 * Ends a reply with a JSON body.
 *
 * @example
 * sendJson(response, 200, {version: 4}, {etag: '"4"'});
 */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
  headers: Record<string, string> = {},
): void {
  response.writeHead(status, {
    'content-type': 'application/json',
    ...headers,
  });
  response.end(JSON.stringify(value));
}

/**
 * Ends a reply with the answer to an error.
 *
 * @example
 * sendError(response, new ServingError('not-found', 'no such object'));
 */
export function sendError(response: ServerResponse, error: unknown): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const {kind, message, retryAfterMs, faults} = toServingError(error);
  const status = kind === 'version-conflict' ? 412 : errorAnswers[kind].status;
  const headers: Record<string, string> = {};
  if (retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.ceil(retryAfterMs / 1000));
  }
  sendJson(response, status, {kind, message, faults}, headers);
}

/**
 * Begins a reply of JSON lines and gives the function that writes one.
 *
 * @example
 * const writeLine = beginLines(response);
 * writeLine(change);
 */
export function beginLines(response: ServerResponse): (value: unknown) => void {
  response.writeHead(200, {'content-type': 'application/x-ndjson'});
  response.flushHeaders();
  return value => {
    if (!response.destroyed) {
      response.write(`${JSON.stringify(value)}\n`);
    }
  };
}

/** What the routes read of a request besides its body. */
export interface RoutedRequest {
  readonly params: Readonly<Record<string, string | string[] | undefined>>;
  readonly headers: IncomingMessage['headers'];
}

/**
 * A named parameter of a route's pattern, decoded.
 *
 * @example
 * const kind = routeParameter(request, 'kind');
 */
export function routeParameter(request: RoutedRequest, name: string): string {
  return decodeURIComponent(String(request.params[name] ?? ''));
}

/**
 * Throws while the platform is down: the answer is 503, before any effect.
 *
 * @example
 * checkUp(faults);
 */
export function checkUp(faults: Faults): void {
  if (faults.isDown) {
    throw new ServingError('platform-unavailable', 'the platform is down');
  }
}

/**
 * Answers a call while the platform is down.
 *
 * @example
 * sendDown(response);
 */
export function sendDown(response: ServerResponse): void {
  sendError(
    response,
    new ServingError('platform-unavailable', 'the platform is down'),
  );
}
