/** Reads the body of a caller's request. */
import type {IncomingMessage} from 'node:http';
import {ServingError} from '@skylarkfield/base';

/**
 * Reads a whole body; undefined for a request without one. It is kept whole, so
 * that it can be sent again to another endpoint. Throws `too-large`, or
 * `cancelled` when the caller leaves before its end.
 *
 * @example
 * const body = await readBody(request, 4_194_304, signal);
 */
export function readBody(
  request: IncomingMessage,
  mostBytes: number,
  signal: AbortSignal,
): Promise<Buffer | undefined> {
  const declared = Number(request.headers['content-length'] ?? 0);
  const isChunked = request.headers['transfer-encoding'] !== undefined;
  if (declared === 0 && !isChunked) {
    return Promise.resolve(undefined);
  }
  if (declared > mostBytes) {
    return Promise.reject(tooLarge(mostBytes));
  }
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > mostBytes) {
        reject(tooLarge(mostBytes));
        return;
      }
      chunks.push(chunk);
    });
    request.once('end', () => resolve(Buffer.concat(chunks)));
    request.once('error', () => reject(left()));
    signal.addEventListener('abort', () => reject(left()), {once: true});
  });
}

function tooLarge(mostBytes: number): ServingError {
  return new ServingError(
    'too-large',
    `the body has more than ${mostBytes} bytes`,
  );
}

function left(): ServingError {
  return new ServingError(
    'cancelled',
    'the caller left while it sent its body',
    {
      run: 'not-run',
    },
  );
}
