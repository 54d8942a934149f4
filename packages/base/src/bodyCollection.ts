/** Collects request bodies within the limits of size and memory. */
import type {Readable} from 'node:stream';
import {createByteCollector} from './byteCollector.js';
import type {Disposable} from './disposables.js';
import type {ServingError} from './errors.js';
import {bodyMemoryError, type RequestBodyMemory} from './requestBodyMemory.js';

/** A whole body; disposing it returns its memory. */
export interface CollectedBody extends Disposable {
  readonly bytes: Buffer;
}

export interface BodyCollection {
  /** Rejects with the error that has ended the collection. */
  readonly body: Promise<CollectedBody>;
  /** Ends the collection with an error; ignored once it has ended. */
  fail(error: ServingError): void;
}

/**
 * Collects a body. Fails with `tooLarge()` as soon as the body exceeds `maxBytes`,
 * and with `overloaded` if there is no memory for it; the rest is left unread then.
 *
 * @example
 * const collection = collectBody(request, {maxBytes: 4_194_304, memory, tooLarge});
 * request.once('error', () => collection.fail(disconnected()));
 * const {bytes, dispose} = await collection.body;
 */
export function collectBody(
  request: Readable,
  {
    maxBytes,
    memory,
    tooLarge,
  }: {
    readonly maxBytes: number;
    readonly memory: RequestBodyMemory;
    tooLarge(): ServingError;
  },
): BodyCollection {
  const collector = createByteCollector();
  const allocation = memory.allocate(() => stopReading(bodyMemoryError()));
  let hasEnded = false;
  let fail!: (error: ServingError) => void;

  function onData(chunk: Buffer): void {
    if (collector.sizeBytes() + chunk.length > maxBytes) {
      stopReading(tooLarge());
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

  const body = new Promise<CollectedBody>((resolve, reject) => {
    fail = error => {
      if (hasEnded) {
        return;
      }
      hasEnded = true;
      request.off('data', onData);
      collector.clear();
      allocation.dispose();
      reject(error);
    };
    request.once('end', () => {
      hasEnded = true;
      allocation.complete();
      const bytes = collector.bytes();
      // The listeners keep the collector as long as the request.
      collector.clear();
      resolve({bytes, dispose: allocation.dispose});
    });
  });
  request.on('data', onData);
  return {body, fail: error => fail(error)};
}
