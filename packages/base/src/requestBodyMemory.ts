/** Memory that the request bodies of all connections of a process share. */
import type {Disposable} from './disposables.js';
import {ServingError} from './errors.js';

/** Memory of one body; disposing it returns the memory. */
export interface BodyAllocation extends Disposable {
  /**
   * Takes memory for further bytes. If there is too little, evicts incomplete
   * bodies; returns false, and takes none, if that doesn't suffice.
   */
  tryGrow(sizeBytes: number): boolean;
  /** Marks the body as complete, so that it is not evicted any more. */
  complete(): void;
}

export interface RequestBodyMemory {
  /**
   * Begins a body. `onDidEvict` is called when others need its memory, which is
   * returned then.
   */
  allocate(onDidEvict: () => void): BodyAllocation;
  /** Memory that bodies take beyond their unshared sizes, in bytes. */
  sharedBytes(): number;
}

/**
 * Size up to which a body takes none of the shared memory, in bytes: the small
 * bodies of other callers always find room.
 */
export const UNSHARED_REQUEST_BYTES = 8 * 1_024;

/** Retry-After of a body that finds no memory, in milliseconds. */
const RETRY_MS = 1_000;

/**
 * Creates the memory of one process. Of the incomplete bodies, the one that has
 * gone longest without progress is evicted first.
 *
 * @example
 * const memory = createRequestBodyMemory(() => 64 * 1024 * 1024);
 * const allocation = memory.allocate(() => reject(bodyMemoryError()));
 */
export function createRequestBodyMemory(
  totalBytes: () => number,
): RequestBodyMemory {
  /** Evictable allocations, longest without progress first. */
  const incomplete = new Map<BodyAllocation, {evict(): void}>();
  let sharedBytes = 0;
  let incompleteBytes = 0;

  return {
    sharedBytes: () => sharedBytes,
    allocate(onDidEvict) {
      let sizeBytes = 0;
      let ownSharedBytes = 0;
      let isComplete = false;

      function setIncomplete(isEvictable: boolean): void {
        if (incomplete.delete(allocation)) {
          incompleteBytes -= ownSharedBytes;
        }
        if (isEvictable && ownSharedBytes > 0) {
          incomplete.set(allocation, {evict});
          incompleteBytes += ownSharedBytes;
        }
      }

      function dispose(): void {
        setIncomplete(false);
        sharedBytes -= ownSharedBytes;
        ownSharedBytes = 0;
      }

      function evict(): void {
        dispose();
        onDidEvict();
      }

      const allocation: BodyAllocation = {
        tryGrow(addedBytes) {
          const neededBytes =
            Math.max(0, sizeBytes + addedBytes - UNSHARED_REQUEST_BYTES) -
            ownSharedBytes;
          setIncomplete(false);
          const freeBytes = totalBytes() - sharedBytes;
          if (neededBytes > freeBytes + incompleteBytes) {
            setIncomplete(!isComplete);
            return false;
          }
          evictUntilFree(neededBytes);
          sizeBytes += addedBytes;
          sharedBytes += neededBytes;
          ownSharedBytes += neededBytes;
          setIncomplete(!isComplete);
          return true;
        },
        complete() {
          isComplete = true;
          setIncomplete(false);
        },
        dispose,
      };
      return allocation;
    },
  };

  function evictUntilFree(neededBytes: number): void {
    for (const {evict} of [...incomplete.values()]) {
      if (sharedBytes + neededBytes <= totalBytes()) {
        return;
      }
      evict();
    }
  }
}

/**
 * Returns the error of a request whose body finds no memory.
 *
 * @example
 * throw bodyMemoryError();
 */
export function bodyMemoryError(): ServingError {
  return new ServingError(
    'overloaded',
    'request bodies take all the memory that this entry has for them',
    {run: 'not-run', retryAfterMs: RETRY_MS},
  );
}
