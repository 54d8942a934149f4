/** Heap in use after a collection. */
import v8 from 'node:v8';
import vm from 'node:vm';

v8.setFlagsFromString('--expose_gc');
const collectGarbage = vm.runInNewContext('gc') as () => void;

/**
 * Collects garbage and reads the heap in use, in bytes.
 *
 * @example
 * const before = collectedHeapBytes();
 */
export function collectedHeapBytes(): number {
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

/**
 * Collects garbage and reads the memory of the process, in bytes.
 *
 * @example
 * const before = collectedResidentBytes();
 */
export function collectedResidentBytes(): number {
  collectGarbage();
  return process.memoryUsage().rss;
}
