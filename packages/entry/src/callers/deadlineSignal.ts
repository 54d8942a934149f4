/** A caller's signal and a deadline in one, for calls to endpoints. */
import {ServingError, type Clock, type Disposable} from '@skylarkfield/base';

export interface DeadlineSignal extends Disposable {
  /** Aborted when the caller goes or the deadline passes, whichever is first. */
  readonly signal: AbortSignal;
  /** Turns the error of an aborted call into `deadline-exceeded` when that was the reason. */
  explain(error: ServingError): ServingError;
}

/**
 * Makes the signal; `deadline` is in monotonic milliseconds.
 *
 * @example
 * const limit = createDeadlineSignal(clock, call.deadline, signal);
 * try { await endpoint.call(call, limit.signal); } finally { limit.dispose(); }
 */
export function createDeadlineSignal(
  clock: Clock,
  deadline: number,
  caller: AbortSignal,
): DeadlineSignal {
  const controller = new AbortController();
  let isLate = false;
  const onAbort = () => controller.abort();
  caller.addEventListener('abort', onAbort, {once: true});
  if (caller.aborted) {
    controller.abort();
  }
  const timer = clock.after(deadline - clock.now(), () => {
    isLate = true;
    controller.abort();
  });
  return {
    signal: controller.signal,
    explain(error) {
      if (!isLate) {
        return error;
      }
      return new ServingError(
        'deadline-exceeded',
        'the endpoint did not answer before the deadline',
        {run: error.run, cause: error},
      );
    },
    dispose() {
      timer.dispose();
      caller.removeEventListener('abort', onAbort);
    },
  };
}
