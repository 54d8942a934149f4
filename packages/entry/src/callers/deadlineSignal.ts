/** Abort signal that combines a caller's signal with a deadline. */
import {ServingError, type Clock, type Disposable} from '@skylarkfield/base';

export interface DeadlineSignal extends Disposable {
  /** Aborted when the caller disconnects or the deadline passes. */
  readonly signal: AbortSignal;
  /** Converts an error to `deadline-exceeded` if the deadline has passed. */
  toCallError(error: ServingError): ServingError;
}

/**
 * Creates a signal that aborts with `callerSignal` or at `deadline`, in
 * monotonic milliseconds.
 *
 * @example
 * const limit = createDeadlineSignal(clock, call.deadline, signal);
 * try { await endpoint.call(call, limit.signal); } finally { limit.dispose(); }
 */
export function createDeadlineSignal(
  clock: Clock,
  deadline: number,
  callerSignal: AbortSignal,
): DeadlineSignal {
  const controller = new AbortController();
  let hasExpired = false;
  const onAbort = () => controller.abort();
  callerSignal.addEventListener('abort', onAbort, {once: true});
  if (callerSignal.aborted) {
    controller.abort();
  }
  const timer = clock.after(deadline - clock.now(), () => {
    hasExpired = true;
    controller.abort();
  });
  return {
    signal: controller.signal,
    toCallError(error) {
      if (!hasExpired) {
        return error;
      }
      return new ServingError(
        'deadline-exceeded',
        'the endpoint did not respond before the deadline',
        {run: error.run, cause: error},
      );
    },
    dispose() {
      timer.dispose();
      callerSignal.removeEventListener('abort', onAbort);
    },
  };
}
