/**
 * Objects of a mirror: those in the store, and earlier states that apply instead
 * since the store returned from a copy.
 */
import type {Clock, Disposable} from '@skylarkfield/base';
import type {MirrorChange, RetainedState} from '@skylarkfield/protocol';
import type {SourceItem} from '../contracts.js';
import {createRemovals} from './removals.js';
import {createRetainedStates} from './retainedStates.js';
import type {EarlierState, RetentionRule} from './retentionRules.js';

export interface MirrorContents<T> extends Disposable {
  /** Returns the value in force. */
  get(name: string): T | undefined;
  /** Returns the objects in force. */
  items(): readonly SourceItem<T>[];
  /** Returns the objects as the store has them. */
  storedItems(): readonly SourceItem<T>[];
  /** Returns the earlier values that are in force instead of the stored ones. */
  retainedItems(): readonly SourceItem<T>[];
  /** Hash of the earlier states; 0 if there are none. */
  retainedDigest(): number;
  retainedStates(): readonly RetainedState[];
  /** Applies one change; returns whether it is newer than the content. */
  apply(change: MirrorChange): boolean;
  /** Replaces the stored objects; returns whether any has changed. */
  replace(newItems: readonly MirrorChange[]): boolean;
  /**
   * Replaces the stored objects by those of a restored store, and retains the
   * earlier states that outlive the return, unless they were never confirmed.
   */
  restore(newItems: readonly MirrorChange[], isConfirmed: boolean): void;
  /**
   * Adopts states that a peer retains, unless the store has changed the object
   * after `peerRevision`; returns whether any was adopted.
   */
  adopt(states: readonly RetainedState[], peerRevision: number): boolean;
}

/**
 * Creates empty contents. `onDidExpire` is called after earlier states have
 * expired.
 *
 * @example
 * const contents = createMirrorContents({rule, clock, onDidExpire});
 * contents.apply({name: 'main', revision: 7, value});
 */
export function createMirrorContents<T>(options: {
  readonly rule: RetentionRule<T>;
  readonly clock: Clock;
  onDidExpire(names: readonly string[]): void;
}): MirrorContents<T> {
  const {clock} = options;
  const stored = new Map<string, SourceItem<T>>();
  const removals = createRemovals<T>(clock);
  const retained = createRetainedStates<T>(options);

  function itemInForce(name: string): SourceItem<T> | undefined {
    const earlier = retained.get(name);
    if (earlier === undefined) {
      return stored.get(name);
    }
    return earlier.isRemoved
      ? undefined
      : {name, revision: earlier.revision, value: earlier.value};
  }

  function itemsInForce(): SourceItem<T>[] {
    const names = new Set([
      ...stored.keys(),
      ...retained.entries().map(([name]) => name),
    ]);
    return [...names].flatMap(name => itemInForce(name) ?? []);
  }

  function put(name: string, revision: number, value: T): boolean {
    if ((stored.get(name)?.revision ?? -Infinity) >= revision) {
      return false;
    }
    stored.set(name, {name, revision, value});
    removals.forget(name);
    retained.update(name, {value, isRewritten: true});
    return true;
  }

  function remove(item: SourceItem<T>): void {
    stored.delete(item.name);
    removals.record(item);
    retained.update(item.name, {value: undefined, isRewritten: true});
  }

  function apply({name, revision, value}: MirrorChange): boolean {
    if (value !== undefined) {
      return put(name, revision, value as T);
    }
    const existingItem = stored.get(name);
    // The object may have been recreated after this removal.
    if (existingItem === undefined || existingItem.revision > revision) {
      return false;
    }
    remove(existingItem);
    return true;
  }

  /** Returns all that is known of objects, whether they exist or not. */
  function earlierStates(): (readonly [string, EarlierState<T>])[] {
    const toState = (
      {name, revision, value}: SourceItem<T>,
      isRemoved: boolean,
    ): readonly [string, EarlierState<T>] => [
      name,
      {revision, value, isRemoved},
    ];
    return [
      ...removals.recentItems().map(item => toState(item, true)),
      ...itemsInForce().map(item => toState(item, false)),
      ...retained.entries().filter(([, {isRemoved}]) => isRemoved),
    ];
  }

  return {
    get: name => itemInForce(name)?.value,
    items: itemsInForce,
    storedItems: () => [...stored.values()],
    retainedItems: () =>
      retained
        .entries()
        .filter(([, {isRemoved}]) => !isRemoved)
        .map(([name, {revision, value}]) => ({name, revision, value})),
    retainedDigest: retained.digest,
    retainedStates: retained.copy,
    apply,
    replace(newItems) {
      const names = new Set(newItems.map(({name}) => name));
      const removedItems = [...stored.values()].filter(
        ({name}) => !names.has(name),
      );
      removedItems.forEach(remove);
      const changedItems = newItems.filter(apply);
      return removedItems.length > 0 || changedItems.length > 0;
    },
    restore(newItems, isConfirmed) {
      const states = isConfirmed ? earlierStates() : [];
      stored.clear();
      retained.clear();
      for (const {name, revision, value} of newItems) {
        stored.set(name, {name, revision, value: value as T});
      }
      for (const [name, earlier] of states) {
        const value = stored.get(name)?.value;
        retained.retain(name, earlier, {value, isRewritten: false});
      }
    },
    adopt(states, peerRevision) {
      const adoptedStates = states.filter(state => {
        const storedItem = stored.get(state.name);
        if (storedItem !== undefined && storedItem.revision > peerRevision) {
          return false;
        }
        const value = itemInForce(state.name)?.value;
        return retained.retain(
          state.name,
          {...state, value: state.value as T},
          {value, isRewritten: false},
          state.remainingMs,
        );
      });
      return adoptedStates.length > 0;
    },
    dispose: () => retained.dispose(),
  };
}
