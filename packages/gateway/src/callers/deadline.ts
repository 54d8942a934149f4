/** Deadlines of requests. */
import {ServingError, type Clock, type Disposable} from '@skylarkfield/base';

/** Aborts a request at its deadline; disposed when the request has ended. */
export interface Deadline extends Disposable {
  /** Aborted when the caller disconnects or the deadline passes. */
  readonly signal: AbortSignal;
}

/** Reason with which a request's signal is aborted at its deadline. */
const DEADLINE_EXCEEDED = new ServingError(
  'deadline-exceeded',
  'no complete response before the deadline',
  {run: 'may-have-run'},
);

/**
 * Starts the deadline of a request, in monotonic milliseconds.
 *
 * @example
 * const deadline = createDeadline(clock, clock.now() + 800, callerSignal);
 */
export function createDeadline(
  clock: Clock,
  deadlineAt: number,
  callerSignal: AbortSignal,
): Deadline {
  const controller = new AbortController();
  const timer = clock.after(Math.max(0, deadlineAt - clock.now()), () =>
    controller.abort(DEADLINE_EXCEEDED),
  );
  return {
    signal: AbortSignal.any([callerSignal, controller.signal]),
    dispose: () => timer.dispose(),
  };
}
