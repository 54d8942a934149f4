/** Reading of request bodies within the limits of size and memory. */
import type {IncomingMessage} from 'node:http';
import {
  collectBody,
  ServingError,
  type CollectedBody,
  type RequestBodyMemory,
} from '@skylarkfield/base';

/**
 * Reads a whole body. Rejects with `too-large` as soon as the limit is
 * exceeded, with `overloaded` when there is no memory for the body, and with
 * `cancelled` when the caller disconnects before the end of the body.
 *
 * @example
 * const body = await readBody(request, settings.limits.bodyBytes, memory);
 * body.dispose();
 */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
  memory: RequestBodyMemory,
): Promise<CollectedBody> {
  const contentLength = Number(request.headers['content-length'] ?? 0);
  if (contentLength > maxBytes) {
    return Promise.reject(bodyTooLargeError(maxBytes));
  }
  const {body, fail} = collectBody(request, {
    maxBytes,
    memory,
    tooLarge: () => bodyTooLargeError(maxBytes),
  });
  request.once('error', error => fail(disconnectedError(error)));
  request.once('close', () => fail(disconnectedError(undefined)));
  return body;
}

function bodyTooLargeError(maxBytes: number): ServingError {
  return new ServingError(
    'too-large',
    `the request body exceeds ${maxBytes} bytes`,
  );
}

function disconnectedError(cause: unknown): ServingError {
  return new ServingError('cancelled', 'the caller disconnected', {
    run: 'not-run',
    cause,
  });
}
