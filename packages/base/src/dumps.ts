/** State dumps of the components of a process, for diagnosis. */
import {toDisposable, type Disposable} from './disposables.js';

/** Registry of the dump functions of components, by name. */
export interface DumpRegistry {
  add(name: string, dump: () => unknown): Disposable;
  /** Calls all dump functions and returns their results by name. */
  collect(): Record<string, unknown>;
}

/**
 * Creates an empty registry. A dump function that throws contributes its error,
 * so that the other components are still dumped.
 *
 * @example
 * const dumps = createDumpRegistry();
 * dumps.add('router', () => router.dump());
 */
export function createDumpRegistry(): DumpRegistry {
  const dumpFunctions = new Map<string, () => unknown>();
  return {
    add(name, dump) {
      dumpFunctions.set(name, dump);
      return toDisposable(() => dumpFunctions.delete(name));
    },
    collect() {
      const dumpsByName: Record<string, unknown> = {};
      for (const [name, dump] of dumpFunctions) {
        dumpsByName[name] = dumpSafely(dump);
      }
      return dumpsByName;
    },
  };
}

function dumpSafely(dump: () => unknown): unknown {
  try {
    return dump();
  } catch (error) {
    return {error: String(error)};
  }
}
