/** The objects of a mirror that were removed recently. */
import type {Clock} from '@skylarkfield/base';
import type {SourceItem} from '../contracts.js';

export interface Removals<T> {
  record(item: SourceItem<T>): void;
  /** Forgets an object that exists again. */
  forget(name: string): void;
  recentItems(): readonly SourceItem<T>[];
}

/** Exceeds the age of a copy from which a store is restored, in ms. */
const REMOVAL_TTL_MS = 60_000;

/**
 * Creates a record without removals.
 *
 * @example
 * removals.record(item);
 * removals.recentItems(); // [item]
 */
export function createRemovals<T>(clock: Clock): Removals<T> {
  /** By name, oldest first; `at` in monotonic milliseconds. */
  const removals = new Map<string, {item: SourceItem<T>; at: number}>();

  function dropOld(): void {
    for (const [name, {at}] of removals) {
      if (clock.now() - at < REMOVAL_TTL_MS) {
        return;
      }
      removals.delete(name);
    }
  }

  return {
    record(item) {
      dropOld();
      removals.delete(item.name);
      removals.set(item.name, {item, at: clock.now()});
    },
    forget: name => void removals.delete(name),
    recentItems() {
      dropOld();
      return [...removals.values()].map(({item}) => item);
    },
  };
}
