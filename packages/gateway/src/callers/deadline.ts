/** Deadlines of requests. */
import {
  ServingError,
  type Clock,
  type Disposable,
  type DrainGuard,
} from '@skylarkfield/base';

/**
 * Aborts a request at its deadline, or when this process stops; disposed when
 * the request has ended.
 */
export interface Deadline extends Disposable {
  /**
   * Aborted when the caller disconnects, the deadline passes or the process
   * stops.
   */
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
 * const deadline = createDeadline(clock, drainGuard, clock.now() + 800,
 *   callerSignal);
 */
export function createDeadline(
  clock: Clock,
  drainGuard: Pick<DrainGuard, 'onDidStop'>,
  deadlineAt: number,
  callerSignal: AbortSignal,
): Deadline {
  const controller = new AbortController();
  const timer = clock.after(Math.max(0, deadlineAt - clock.now()), () =>
    controller.abort(DEADLINE_EXCEEDED),
  );
  const subscription = drainGuard.onDidStop(error => controller.abort(error));
  return {
    signal: AbortSignal.any([callerSignal, controller.signal]),
    dispose() {
      timer.dispose();
      subscription.dispose();
    },
  };
}
