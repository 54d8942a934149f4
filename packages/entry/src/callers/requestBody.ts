/** Reading of request bodies within the limits of size and memory. */
import type {IncomingMessage} from 'node:http';
import {
  bodyMemoryError,
  createByteCollector,
  ServingError,
  type Disposable,
  type RequestBodyMemory,
} from '@skylarkfield/base';

/** Body of a request; disposing it returns its memory. */
export interface RequestBody extends Disposable {
  readonly bytes: Uint8Array;
}

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
): Promise<RequestBody> {
  const contentLength = Number(request.headers['content-length'] ?? 0);
  if (contentLength > maxBytes) {
    return Promise.reject(bodyTooLargeError(maxBytes));
  }
  return new Promise((resolve, reject) => {
    const collector = createByteCollector();
    let hasEnded = false;
    const allocation = memory.allocate(() => stopReading(bodyMemoryError()));
    request.on('data', onData);
    request.once('end', () => {
      hasEnded = true;
      allocation.complete();
      const bytes = collector.bytes();
      // The listeners keep the collector as long as the request.
      collector.clear();
      resolve({bytes, dispose: allocation.dispose});
    });
    request.once('error', error => fail(disconnectedError(error)));
    request.once('close', () => fail(disconnectedError(undefined)));

    function onData(chunk: Buffer): void {
      if (collector.sizeBytes() + chunk.length > maxBytes) {
        stopReading(bodyTooLargeError(maxBytes));
        return;
      }
      if (!allocation.tryGrow(chunk.length)) {
        stopReading(bodyMemoryError());
        return;
      }
      collector.push(chunk);
    }

    function stopReading(error: ServingError): void {
      request.pause();
      fail(error);
    }

    function fail(error: ServingError): void {
      if (hasEnded) {
        return;
      }
      hasEnded = true;
      request.off('data', onData);
      collector.clear();
      allocation.dispose();
      reject(error);
    }
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
