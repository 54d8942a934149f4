/** Stream of JSON lines that reconnects with jittered exponential backoff. */
import {
  createDisposableStore,
  toDisposable,
  type Clock,
  type Disposable,
  type Random,
} from '@skylarkfield/base';
import type {HttpClient} from './httpCalls.js';

const INITIAL_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 4000;

/**
 * Opens a stream and reopens it whenever it ends, until disposed. The server
 * starts every stream with the complete current state, so that a disconnect
 * loses nothing.
 *
 * @example
 * openReconnectingStream({client, clock, random, path: '/cloud/notices', onDidLine});
 */
export function openReconnectingStream(options: {
  readonly client: HttpClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly path: string;
  readonly onDidLine: (value: unknown) => void;
}): Disposable {
  const {client, clock, random, path} = options;
  const disposables = createDisposableStore();
  let stream: Disposable = toDisposable(() => {});
  let reconnectTimer: Disposable = toDisposable(() => {});
  let failedAttempts = 0;

  function open(): void {
    if (disposables.isDisposed) {
      return;
    }
    stream = client.stream(path, {
      onDidOpen() {
        failedAttempts = 0;
      },
      onDidLine: options.onDidLine,
      onDidEnd(_status, retryAfterMs) {
        const delayMs = Math.min(
          MAX_BACKOFF_MS,
          INITIAL_BACKOFF_MS * 2 ** failedAttempts,
        );
        failedAttempts += 1;
        const jitteredMs = delayMs * (0.5 + random.next());
        reconnectTimer = clock.after(Math.max(retryAfterMs, jitteredMs), open);
      },
    });
  }

  disposables.add(toDisposable(() => stream.dispose()));
  disposables.add(toDisposable(() => reconnectTimer.dispose()));
  open();
  return disposables;
}
