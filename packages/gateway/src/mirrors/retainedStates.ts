/** Earlier states of objects that outlive the store's return from a copy. */
import {
  hash32,
  toDisposable,
  type Clock,
  type Disposable,
} from '@skylarkfield/base';
import type {RetainedState} from '@skylarkfield/protocol';
import type {
  EarlierState,
  RestoredState,
  RetentionRule,
} from './retentionRules.js';

/** An earlier state and the time until which it applies. */
interface RetainedEntry<T> extends EarlierState<T> {
  /** Monotonic milliseconds; Infinity until the store has a newer state. */
  readonly until: number;
}

export interface RetainedStates<T> extends Disposable {
  /** Returns the state that applies instead of the store's; else undefined. */
  get(name: string): EarlierState<T> | undefined;
  entries(): readonly (readonly [string, EarlierState<T>])[];
  /**
   * Retains an earlier state if the rule says so, at most for `maxMs`. Returns
   * whether it is retained.
   */
  retain(
    name: string,
    earlier: EarlierState<T>,
    restored: RestoredState<T>,
    maxMs?: number,
  ): boolean;
  /** Drops the state if the store's new state of the object supersedes it. */
  update(name: string, restored: RestoredState<T>): void;
  /** Hash of all states, the same at entries that retain the same; 0 if none. */
  digest(): number;
  /** Forgets all states. */
  clear(): void;
  /** Returns the states for a peer. */
  copy(): readonly RetainedState[];
}

/**
 * Creates an empty set of states. `onDidExpire` is called after states have
 * expired.
 *
 * @example
 * const retained = createRetainedStates({rule: retentionRules.policy, clock,
 *   onDidExpire});
 * retained.retain('main', {value, isRemoved: false}, restored);
 */
export function createRetainedStates<T>(options: {
  readonly rule: RetentionRule<T>;
  readonly clock: Clock;
  onDidExpire(names: readonly string[]): void;
}): RetainedStates<T> {
  const {rule, clock} = options;
  const entriesByName = new Map<string, RetainedEntry<T>>();
  let timer: Disposable = toDisposable(() => {});
  let cachedDigest: number | undefined = 0;

  function didChange(): void {
    cachedDigest = undefined;
    timer.dispose();
    const nextExpiry = Math.min(
      ...[...entriesByName.values()].map(({until}) => until),
    );
    if (Number.isFinite(nextExpiry)) {
      timer = clock.after(Math.max(0, nextExpiry - clock.now()), expire);
    }
  }

  function expire(): void {
    const expiredNames = [...entriesByName]
      .filter(([, {until}]) => until <= clock.now())
      .map(([name]) => name);
    expiredNames.forEach(name => entriesByName.delete(name));
    didChange();
    if (expiredNames.length > 0) {
      options.onDidExpire(expiredNames);
    }
  }

  function copy(): RetainedState[] {
    return [...entriesByName].map(
      ([name, {revision, value, isRemoved, until}]) => ({
        name,
        revision,
        value,
        isRemoved,
        ...(Number.isFinite(until)
          ? {remainingMs: Math.max(0, until - clock.now())}
          : {}),
      }),
    );
  }

  return {
    get: name => entriesByName.get(name),
    entries: () => [...entriesByName],
    retain(name, {revision, value, isRemoved}, restored, maxMs = Infinity) {
      const earlier = {revision, value, isRemoved};
      const retentionMs = Math.min(maxMs, rule.retentionMs(earlier, restored));
      if (retentionMs <= 0) {
        return false;
      }
      entriesByName.set(name, {...earlier, until: clock.now() + retentionMs});
      didChange();
      return true;
    },
    update(name, restored) {
      const entry = entriesByName.get(name);
      if (entry !== undefined && rule.retentionMs(entry, restored) === 0) {
        entriesByName.delete(name);
        didChange();
      }
    },
    digest: () => (cachedDigest ??= digestOf(copy())),
    clear() {
      entriesByName.clear();
      didChange();
    },
    copy,
    dispose: () => timer.dispose(),
  };
}

/**
 * Returns a hash of retained states, which does not depend on their order or on
 * how long they remain; 0 if there are none.
 *
 * @example
 * digestOf(snapshot.retained ?? []);
 */
export function digestOf(states: readonly RetainedState[]): number {
  const texts = states
    .map(({name, value, isRemoved}) => JSON.stringify([name, isRemoved, value]))
    .sort();
  return texts.length === 0 ? 0 : Math.max(1, hash32(texts.join('\n')));
}
