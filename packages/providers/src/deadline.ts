/** Ends an operation at its deadline or when its caller cancels it. */
import {ServingError, type Clock} from '@skylarkfield/base';

/**
 * Runs an operation with a signal that aborts at the deadline or with the
 * caller's signal. Rejects with `onTimeout()` or `onCancel()` at that moment,
 * whether or not the operation heeds its signal.
 *
 * @example
 * await withDeadline({clock, deadlineAt, signal, onTimeout, onCancel}, signal => read(signal));
 */
export function withDeadline<T>(
  options: {
    readonly clock: Clock;
    readonly deadlineAt: number;
    readonly signal: AbortSignal | undefined;
    readonly onTimeout: () => ServingError;
    readonly onCancel: () => ServingError;
  },
  operation: (signal: AbortSignal) => Promise<T>,
): Promise<T> {
  const {clock, signal} = options;
  if (signal?.aborted) {
    return Promise.reject(options.onCancel());
  }
  return new Promise((resolve, reject) => {
    const controller = new AbortController();
    const timer = clock.after(options.deadlineAt - clock.now(), () =>
      stop(options.onTimeout()),
    );
    function release() {
      timer.dispose();
      signal?.removeEventListener('abort', onAbort);
    }
    function stop(error: ServingError) {
      release();
      reject(error);
      controller.abort();
    }
    function onAbort() {
      stop(options.onCancel());
    }
    signal?.addEventListener('abort', onAbort, {once: true});
    operation(controller.signal).then(
      value => {
        release();
        resolve(value);
      },
      (error: Error) => {
        release();
        reject(error);
      },
    );
  });
}
