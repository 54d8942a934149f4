/** Things that are acquired and must be released by their owner. */

export interface Disposable {
  /** Releases what was acquired; calling it again does nothing. */
  dispose(): void;
}

/** Owns several disposables and releases them together. */
export interface DisposableStore extends Disposable {
  /** Takes ownership; disposes at once when the store is already disposed. */
  add<T extends Disposable>(disposable: T): T;
  readonly isDisposed: boolean;
}

/**
 * Wraps a function as a disposable that runs it once.
 *
 * @example
 * const subscription = toDisposable(() => listeners.delete(listener));
 */
export function toDisposable(release: () => void): Disposable {
  let isDisposed = false;
  return {
    dispose() {
      if (isDisposed) {
        return;
      }
      isDisposed = true;
      release();
    },
  };
}

/**
 * Makes a store that disposes its content in reverse order of adding.
 *
 * @example
 * const store = disposableStore();
 * store.add(clock.after(1000, beat));
 * store.dispose();
 */
export function disposableStore(): DisposableStore {
  const owned: Disposable[] = [];
  let isDisposed = false;
  return {
    get isDisposed() {
      return isDisposed;
    },
    add(disposable) {
      if (isDisposed) {
        disposable.dispose();
        return disposable;
      }
      owned.push(disposable);
      return disposable;
    },
    dispose() {
      isDisposed = true;
      while (owned.length > 0) {
        owned.pop()?.dispose();
      }
    },
  };
}
