/** Keeps a stream of JSON lines open, with jittered waits between tries. */
import {
  disposableStore,
  toDisposable,
  type Clock,
  type Disposable,
  type Random,
} from '@skylarkfield/base';
import type {HttpCaller} from './httpCalls.js';

const FIRST_RETRY_MS = 200;
const LONGEST_RETRY_MS = 4000;

/**
 * Opens the stream again whenever it ends, until disposed. The server begins
 * every stream with all that is current, so that a cut loses nothing.
 *
 * @example
 * keepStream({caller, clock, random, path: '/cloud/notices', onDidLine: note});
 */
export function keepStream(options: {
  readonly caller: HttpCaller;
  readonly clock: Clock;
  readonly random: Random;
  readonly path: string;
  readonly onDidLine: (value: unknown) => void;
}): Disposable {
  const {caller, clock, random, path} = options;
  const owned = disposableStore();
  let stream: Disposable = toDisposable(() => {});
  let timer: Disposable = toDisposable(() => {});
  let attempts = 0;

  function open(): void {
    if (owned.isDisposed) {
      return;
    }
    stream = caller.stream(path, {
      onDidOpen() {
        attempts = 0;
      },
      onDidLine: options.onDidLine,
      onDidEnd(_status, retryAfterMs) {
        const delayMs = Math.min(
          LONGEST_RETRY_MS,
          FIRST_RETRY_MS * 2 ** attempts,
        );
        attempts += 1;
        const jitteredMs = delayMs * (0.5 + random.next());
        timer = clock.after(Math.max(retryAfterMs, jitteredMs), open);
      },
    });
  }

  owned.add(toDisposable(() => stream.dispose()));
  owned.add(toDisposable(() => timer.dispose()));
  open();
  return owned;
}
