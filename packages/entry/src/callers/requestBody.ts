/** Reading of request bodies with a size limit. */
import type {IncomingMessage} from 'node:http';
import {ServingError} from '@skylarkfield/base';

/**
 * Reads a whole body. Rejects with `too-large` as soon as the limit is
 * exceeded, and with `cancelled` when the caller disconnects before the end of
 * the body.
 *
 * @example
 * const body = await readBody(request, settings.limits.bodyBytes);
 */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Uint8Array> {
  const contentLength = Number(request.headers['content-length'] ?? 0);
  if (contentLength > maxBytes) {
    return Promise.reject(bodyTooLargeError(maxBytes));
  }
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) {
        request.pause();
        reject(bodyTooLargeError(maxBytes));
        return;
      }
      chunks.push(chunk);
    });
    request.once('end', () => resolve(Buffer.concat(chunks)));
    request.once('error', error => reject(disconnectedError(error)));
    request.once('close', () => reject(disconnectedError(undefined)));
  });
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
