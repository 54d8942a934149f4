/** HTTP helpers shared by the routes of the platform stand-in. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {PlatformFaults} from './platformFaults.js';
import {
  errorResponses,
  parseJson,
  ServingError,
  toServingError,
} from '@skylarkfield/base';

const MAX_BODY_BYTES = 2_000_000;

/**
 * Reads a request body as JSON; returns undefined if the body is empty.
 *
 * @example
 * const body = await readJson(request);
 * const start = validateShape(startRequestSchema, body, 'bad-request');
 */
export async function readJson(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  let bodyBytes = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bodyBytes += chunk.length;
    if (bodyBytes > MAX_BODY_BYTES) {
      throw new ServingError('too-large', 'the request body is too large');
    }
    chunks.push(chunk);
  }
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? undefined : parseJson(text, 'bad-request', 'body');
}

/**
 * Sends a response with a JSON body.
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
 * Sends an error response, or closes a connection whose response has begun.
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
  const status =
    kind === 'version-conflict' ? 412 : errorResponses[kind].status;
  const headers: Record<string, string> = {};
  if (retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.ceil(retryAfterMs / 1000));
  }
  sendJson(response, status, {kind, message, faults}, headers);
}

/**
 * Starts a newline-delimited JSON response and returns its line writer.
 *
 * @example
 * const writeLine = startJsonLines(response);
 * writeLine(change);
 */
export function startJsonLines(
  response: ServerResponse,
): (value: unknown) => void {
  response.writeHead(200, {'content-type': 'application/x-ndjson'});
  response.flushHeaders();
  return value => {
    if (!response.destroyed) {
      response.write(`${JSON.stringify(value)}\n`);
    }
  };
}

/** Route parameters and headers of a request. */
export interface RoutedRequest {
  readonly params: Readonly<Record<string, string | string[] | undefined>>;
  readonly headers: IncomingMessage['headers'];
}

/**
 * Returns a named path parameter, percent-decoded.
 *
 * @example
 * const kind = routeParameter(request, 'kind');
 */
export function routeParameter(request: RoutedRequest, name: string): string {
  return decodeURIComponent(String(request.params[name] ?? ''));
}

/**
 * Throws `platform-unavailable` (503) while the platform is down.
 *
 * @example
 * throwIfDown(faults);
 */
export function throwIfDown(faults: PlatformFaults): void {
  if (faults.isDown) {
    throw new ServingError('platform-unavailable', 'the platform is down');
  }
}

/**
 * Sends the `platform-unavailable` (503) response of a platform that is down.
 *
 * @example
 * sendUnavailable(response);
 */
export function sendUnavailable(response: ServerResponse): void {
  sendError(
    response,
    new ServingError('platform-unavailable', 'the platform is down'),
  );
}
