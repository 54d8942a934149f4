/** What every part of an entry process gets. */
import type {
  Clock,
  DecisionLog,
  Disposable,
  Logger,
  Meter,
  Random,
} from '@skylarkfield/base';
import {toDisposable} from '@skylarkfield/base';
import type {EntrySettings} from './settings.js';

/** Collects the state of each part for the dump. */
export interface Dumps {
  add(name: string, dump: () => unknown): Disposable;
  collect(): Record<string, unknown>;
}

export interface EntryContext {
  readonly settings: EntrySettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly decisions: DecisionLog;
  readonly meter: Meter;
  readonly dumps: Dumps;
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
