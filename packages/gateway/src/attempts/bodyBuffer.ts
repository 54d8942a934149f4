/** Collects the bodies of responses that are passed on in one piece. */
import {createByteCollector, type Disposable} from '@skylarkfield/base';

/** Why a body is not kept: it is too long itself, or others are. */
export type BodyExcess = 'too-long' | 'no-memory';

/** Body of one response; disposing it returns its memory. */
export interface BodyBuffer extends Disposable {
  /** Appends a chunk. Returns why the body must be ended; else undefined. */
  push(chunk: Buffer): BodyExcess | undefined;
  bytes(): Buffer;
}

/** Memory that the long bodies of a process share. */
export interface BodyMemory {
  /** Takes memory. Returns false, and takes none, if there is too little. */
  tryTake(sizeBytes: number): boolean;
  release(sizeBytes: number): void;
}

/**
 * Maximum size of a response that is passed on in one piece, in bytes. A faulty
 * endpoint may send bytes without end, and other requests need memory too.
 */
export const MAX_BODY_BYTES = 16 * 1024 * 1024;

/** Size up to which a body takes none of the shared memory, in bytes. */
export const UNSHARED_BODY_BYTES = 1024 * 1024;

/**
 * Memory that all bodies take beyond their unshared sizes, in bytes. A faulty
 * endpoint may answer all requests that it runs without end.
 */
export const SHARED_BODY_BYTES = 2 * MAX_BODY_BYTES;

/**
 * Creates the memory of one process.
 *
 * @example
 * const bodyMemory = createBodyMemory();
 * const body = createBodyBuffer(bodyMemory);
 */
export function createBodyMemory(totalBytes = SHARED_BODY_BYTES): BodyMemory {
  let takenBytes = 0;
  return {
    tryTake(sizeBytes) {
      if (takenBytes + sizeBytes > totalBytes) {
        return false;
      }
      takenBytes += sizeBytes;
      return true;
    },
    release(sizeBytes) {
      takenBytes -= sizeBytes;
    },
  };
}

/**
 * Creates an empty buffer.
 *
 * @example
 * const excess = body.push(chunk);
 * if (excess) { abort(excessError(excess)); }
 */
export function createBodyBuffer(memory: BodyMemory): BodyBuffer {
  const collector = createByteCollector();
  let sharedBytes = 0;

  function dispose(): void {
    collector.clear();
    if (sharedBytes > 0) {
      memory.release(sharedBytes);
      sharedBytes = 0;
    }
  }

  return {
    push(chunk) {
      const sizeBytes = collector.sizeBytes() + chunk.length;
      if (sizeBytes > MAX_BODY_BYTES) {
        dispose();
        return 'too-long';
      }
      const neededBytes = Math.max(0, sizeBytes - UNSHARED_BODY_BYTES);
      const addedBytes = neededBytes - sharedBytes;
      if (addedBytes > 0 && !memory.tryTake(addedBytes)) {
        dispose();
        return 'no-memory';
      }
      sharedBytes = neededBytes;
      collector.push(chunk);
      return undefined;
    },
    bytes: () => collector.bytes(),
    dispose,
  };
}
