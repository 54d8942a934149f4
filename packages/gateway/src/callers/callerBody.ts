/** Reads the body of a caller's request. */
import type {IncomingMessage} from 'node:http';
import {createByteCollector, ServingError} from '@skylarkfield/base';

/**
 * Reads the whole body; undefined if the request has no body. The body is
 * buffered so that it can be sent again to another endpoint. Throws
 * `too-large`, or `cancelled` if the caller disconnects before the end of the
 * body.
 *
 * @example
 * const body = await readBody(request, 4_194_304, signal);
 */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
  signal: AbortSignal,
): Promise<Buffer | undefined> {
  const declaredBytes = Number(request.headers['content-length'] ?? 0);
  const isChunked = request.headers['transfer-encoding'] !== undefined;
  if (declaredBytes === 0 && !isChunked) {
    return Promise.resolve(undefined);
  }
  if (declaredBytes > maxBytes) {
    return Promise.reject(tooLarge(maxBytes));
  }
  return new Promise((resolve, reject) => {
    const collector = createByteCollector();
    request.on('data', function onData(chunk: Buffer) {
      if (collector.sizeBytes() + chunk.length > maxBytes) {
        request.off('data', onData);
        collector.clear();
        reject(tooLarge(maxBytes));
        return;
      }
      collector.push(chunk);
    });
    request.once('end', () => resolve(collector.bytes()));
    request.once('error', () => reject(callerDisconnected()));
    signal.addEventListener('abort', () => reject(callerDisconnected()), {
      once: true,
    });
  });
}

function tooLarge(maxBytes: number): ServingError {
  return new ServingError('too-large', `the body exceeds ${maxBytes} bytes`);
}

function callerDisconnected(): ServingError {
  return new ServingError(
    'cancelled',
    'the caller disconnected while sending the body',
    {
      run: 'not-run',
    },
  );
}
