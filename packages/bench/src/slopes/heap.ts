/** Measures memory use after garbage collection. */
import v8 from 'node:v8';
import vm from 'node:vm';

v8.setFlagsFromString('--expose_gc');
const collectGarbage = vm.runInNewContext('gc') as () => void;

/**
 * Collects garbage and returns the used heap in bytes.
 *
 * @example
 * const heapBytesBefore = measureHeapBytes();
 */
export function measureHeapBytes(): number {
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

/**
 * Collects garbage and returns the resident set size in bytes.
 *
 * @example
 * const residentBytesBefore = measureResidentBytes();
 */
export function measureResidentBytes(): number {
  collectGarbage();
  return process.memoryUsage().rss;
}
