/** Reads request bodies within a bound. */
import type {IncomingMessage} from 'node:http';
import {ServingError} from '@skylarkfield/base';

/**
 * Reads a whole body. Throws `too-large` as soon as the bound is passed, and
 * `cancelled` when the caller goes away first.
 *
 * @example
 * const body = await readBody(request, settings.limits.bodyBytes);
 */
export function readBody(
  request: IncomingMessage,
  limitBytes: number,
): Promise<Uint8Array> {
  const announced = Number(request.headers['content-length'] ?? 0);
  if (announced > limitBytes) {
    return Promise.reject(tooLarge(limitBytes));
  }
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > limitBytes) {
        request.pause();
        reject(tooLarge(limitBytes));
        return;
      }
      chunks.push(chunk);
    });
    request.once('end', () => resolve(Buffer.concat(chunks)));
    request.once('error', error => reject(goneError(error)));
    request.once('close', () => reject(goneError(undefined)));
  });
}

function tooLarge(limitBytes: number): ServingError {
  return new ServingError(
    'too-large',
    `the body may have at most ${limitBytes} bytes`,
  );
}

function goneError(cause: unknown): ServingError {
  return new ServingError('cancelled', 'the caller went away', {
    run: 'not-run',
    cause,
  });
}
