/** Turns pushed values into an async iterable that one consumer reads. */

export interface EventQueue<T> extends AsyncIterable<T> {
  push(value: T): void;
  /** Ends the sequence; values already pushed are still read. */
  end(): void;
  /** Ends the sequence with an error after the values already pushed. */
  fail(error: unknown): void;
  /** Values pushed and not yet read. */
  readonly size: number;
  /** Called each time that the consumer has read the last value. */
  onDrain?: () => void;
}

/**
 * Makes an open, empty queue. `release` runs once when the consumer stops
 * reading, for whatever reason.
 *
 * @example
 * const queue = createEventQueue<GenerationEvent>(() => model.cancel(attempt));
 */
export function createEventQueue<T>(release: () => void): EventQueue<T> {
  const values: T[] = [];
  let ending: {error?: unknown} | undefined;
  let wake: (() => void) | undefined;

  function finish(how: {error?: unknown}) {
    ending ??= how;
    wake?.();
  }

  async function* read(): AsyncGenerator<T> {
    try {
      for (;;) {
        while (values.length > 0) {
          yield values.shift()!;
        }
        queue.onDrain?.();
        if (values.length > 0) {
          continue;
        }
        if (ending !== undefined) {
          break;
        }
        await new Promise<void>(resolve => (wake = resolve));
      }
      if (ending.error !== undefined) {
        throw ending.error;
      }
    } finally {
      release();
    }
  }

  const queue: EventQueue<T> = {
    push(value) {
      if (ending !== undefined) {
        return;
      }
      values.push(value);
      wake?.();
    },
    end: () => finish({}),
    fail: error => finish({error}),
    get size() {
      return values.length;
    },
    [Symbol.asyncIterator]: read,
  };
  return queue;
}
