/** Typed events between parts of one process. */
import {toDisposable, type Disposable} from './disposables.js';

/** Subscribes a listener until the returned disposable is disposed. */
export type Event<T> = (listener: (value: T) => void) => Disposable;

/** The owner's side of an event. */
export interface Emitter<T> extends Disposable {
  readonly event: Event<T>;
  /** Calls every listener in order of subscription. */
  fire(value: T): void;
}

/**
 * Makes an event source.
 *
 * A listener that throws does not keep the others from hearing the event: the
 * first error is thrown after all have been called.
 *
 * @example
 * const changed = emitter<Member>();
 * const subscription = changed.event(member => redraw(member));
 * changed.fire(member);
 */
export function emitter<T>(): Emitter<T> {
  const listeners = new Set<(value: T) => void>();
  return {
    event(listener) {
      // A wrapper keeps two subscriptions of one function apart.
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
