/** Queue that exposes pushed values as an async iterable for one reader. */

export interface EventQueue<T> extends AsyncIterable<T> {
  push(value: T): void;
  /** Ends the sequence; values already pushed are still delivered. */
  end(): void;
  /** Ends the sequence with an error after the values already pushed. */
  fail(error: unknown): void;
  /** Number of values pushed but not yet read. */
  readonly size: number;
  /** Called whenever the reader has read all values. */
  onDrain?: () => void;
}

/**
 * Creates an empty queue. `onReaderClosed` is called once when the reader
 * stops, for whatever reason.
 *
 * @example
 * const queue = createEventQueue<GenerationEvent>(() => model.cancel(attempt));
 */
export function createEventQueue<T>(onReaderClosed: () => void): EventQueue<T> {
  const values: T[] = [];
  let completion: {error?: unknown} | undefined;
  let wakeReader: (() => void) | undefined;

  function complete(result: {error?: unknown}) {
    completion ??= result;
    wakeReader?.();
  }

  async function* readValues(): AsyncGenerator<T> {
    try {
      for (;;) {
        while (values.length > 0) {
          yield values.shift()!;
        }
        queue.onDrain?.();
        if (values.length > 0) {
          continue;
        }
        if (completion !== undefined) {
          break;
        }
        await new Promise<void>(resolve => (wakeReader = resolve));
      }
      if (completion.error !== undefined) {
        throw completion.error;
      }
    } finally {
      onReaderClosed();
    }
  }

  const queue: EventQueue<T> = {
    push(value) {
      if (completion !== undefined) {
        return;
      }
      values.push(value);
      wakeReader?.();
    },
    end: () => complete({}),
    fail: error => complete({error}),
    get size() {
      return values.length;
    },
    [Symbol.asyncIterator]: readValues,
  };
  return queue;
}
