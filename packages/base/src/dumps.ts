/** The state of a process, part by part, for those who look into it. */
import {toDisposable, type Disposable} from './disposables.js';

/** Collects the state of each part for the dump. */
export interface Dumps {
  add(name: string, dump: () => unknown): Disposable;
  collect(): Record<string, unknown>;
}

/**
 * Makes an empty collection of dumps. A dump that throws shows its error
 * instead of hiding the state of all other parts.
 *
 * @example
 * const dumps = createDumps();
 * dumps.add('router', () => router.dump());
 */
export function createDumps(): Dumps {
  const dumps = new Map<string, () => unknown>();
  return {
    add(name, dump) {
      dumps.set(name, dump);
      return toDisposable(() => dumps.delete(name));
    },
    collect() {
      const state: Record<string, unknown> = {};
      for (const [name, dump] of dumps) {
        state[name] = dumpSafely(dump);
      }
      return state;
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
