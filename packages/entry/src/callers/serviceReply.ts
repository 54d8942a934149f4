/** Replies of plain services to callers. */
import type {ServerResponse} from 'node:http';
import {framingOf, ServingError} from '@skylarkfield/base';
import type {ServiceResponse} from '@skylarkfield/endpoints';
import {toCallerHeaders} from './forwardedHeaders.js';

/**
 * Sends the reply of a plain service. The end of the body is marked unless
 * nothing vouches for it. Throws `cancelled` if the caller has disconnected.
 *
 * @example
 * sendServiceReply(exchange.response, await endpoint.call(call, signal));
 */
export function sendServiceReply(
  response: ServerResponse,
  {status, headers, body, isEndUnmarked}: ServiceResponse,
): void {
  if (response.destroyed) {
    throw new ServingError('cancelled', 'the caller disconnected');
  }
  const callerHeaders = toCallerHeaders(headers);
  const isBodiless =
    framingOf(response.req.method ?? '', status, headers) === 'head';
  if (!isBodiless && isEndUnmarked) {
    callerHeaders['connection'] = 'close';
    // Keeps Node from sending the body in chunks.
    response.removeHeader('transfer-encoding');
  } else if (!isBodiless) {
    callerHeaders['content-length'] = String(body.byteLength);
  }
  response.writeHead(status, callerHeaders);
  response.end(body);
}
