/** Reads the body of a caller's request. */
import type {IncomingMessage} from 'node:http';
import {
  createByteCollector,
  ServingError,
  type Clock,
  type ReadBounds,
} from '@skylarkfield/base';

/**
 * Reads the whole body; undefined if the request has no body. The body is
 * buffered so that it can be sent again to another endpoint. Throws
 * `too-large`, `deadline-exceeded` if the body does not end in time, or
 * `cancelled` if the caller disconnects before the end of the body.
 *
 * @example
 * const body = await readBody(request, {maxBytes: 4_194_304, timeoutMs: 800}, clock, signal);
 */
export function readBody(
  request: IncomingMessage,
  {maxBytes, timeoutMs}: ReadBounds,
  clock: Clock,
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
    const timer = clock.after(Math.max(0, timeoutMs), () =>
      reject(bodyTimeout(timeoutMs)),
    );
    request.once('close', () => timer.dispose());
    request.on('data', function onData(chunk: Buffer) {
      if (collector.sizeBytes() + chunk.length > maxBytes) {
        request.off('data', onData);
        collector.clear();
        reject(tooLarge(maxBytes));
        return;
      }
      collector.push(chunk);
    });
    request.once('end', () => {
      timer.dispose();
      resolve(collector.bytes());
    });
    request.once('error', () => reject(callerDisconnected()));
    signal.addEventListener('abort', () => reject(callerDisconnected()), {
      once: true,
    });
  });
}

function tooLarge(maxBytes: number): ServingError {
  return new ServingError('too-large', `the body exceeds ${maxBytes} bytes`);
}

function bodyTimeout(timeoutMs: number): ServingError {
  return new ServingError(
    'deadline-exceeded',
    `the body did not end within ${Math.round(timeoutMs)} ms`,
    {run: 'not-run'},
  );
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
