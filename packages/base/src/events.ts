/** Typed events between components of one process. */
import {toDisposable, type Disposable} from './disposables.js';

/** Subscribes a listener until the returned disposable is disposed. */
export type Event<T> = (listener: (value: T) => void) => Disposable;

/** Publisher side of an event. */
export interface Emitter<T> extends Disposable {
  readonly event: Event<T>;
  /** Calls all listeners in order of subscription. */
  fire(value: T): void;
}

/**
 * Creates an event emitter.
 *
 * A listener that throws does not keep later listeners from being called: the
 * first error is rethrown after all listeners were called.
 *
 * @example
 * const changed = createEmitter<Member>();
 * const subscription = changed.event(member => redraw(member));
 * changed.fire(member);
 */
export function createEmitter<T>(): Emitter<T> {
  const listeners = new Set<(value: T) => void>();
  return {
    event(listener) {
      // The wrapper distinguishes two subscriptions of the same function.
      const wrapper = (value: T) => listener(value);
      listeners.add(wrapper);
      return toDisposable(() => listeners.delete(wrapper));
    },
    fire(value) {
      const errors: unknown[] = [];
      for (const listener of [...listeners]) {
        try {
          listener(value);
        } catch (error) {
          errors.push(error);
        }
      }
      if (errors.length > 0) {
        throw errors[0];
      }
    },
    dispose() {
      listeners.clear();
    },
  };
}
