/** Reading of request bodies with a size limit. */
import type {IncomingMessage} from 'node:http';
import {createByteCollector, ServingError} from '@skylarkfield/base';

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
    const collector = createByteCollector();
    request.on('data', function onData(chunk: Buffer) {
      if (collector.sizeBytes() + chunk.length > maxBytes) {
        request.off('data', onData);
        collector.clear();
        request.pause();
        reject(bodyTooLargeError(maxBytes));
        return;
      }
      collector.push(chunk);
    });
    request.once('end', () => resolve(collector.bytes()));
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
