/** Resources that their owner must release. */

export interface Disposable {
  /** Releases the resource; further calls have no effect. */
  dispose(): void;
}

/** Owns several disposables and disposes them together. */
export interface DisposableStore extends Disposable {
  /** Adds a disposable; disposes it at once if the store has been disposed. */
  add<T extends Disposable>(disposable: T): T;
  readonly isDisposed: boolean;
}

/**
 * Wraps a function in a disposable that calls it at most once.
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
 * Creates a store that disposes its contents in reverse order of addition.
 *
 * @example
 * const store = createDisposableStore();
 * store.add(clock.after(1000, sendHeartbeat));
 * store.dispose();
 */
export function createDisposableStore(): DisposableStore {
  const disposables: Disposable[] = [];
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
      disposables.push(disposable);
      return disposable;
    },
    dispose() {
      isDisposed = true;
      while (disposables.length > 0) {
        disposables.pop()?.dispose();
      }
    },
  };
}
