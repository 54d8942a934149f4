/** Timer that fires when a queued request can no longer meet its deadline. */
import type {Clock, Disposable} from '@skylarkfield/base';

/**
 * Minimum delay of a deadline check, in milliseconds. The remaining time is a
 * difference of floating-point numbers: a remainder too small to advance the
 * clock would rerun the check at the same instant forever and hang the process.
 */
const MIN_RECHECK_MS = 1;

/**
 * Starts a timer that calls `onUnreachable` once, as soon as the time until the
 * deadline is no longer than the service time. `serviceMs` is called at each
 * check, since the service time may change while the request is queued.
 *
 * @example
 * const timer = startDeadlineTimer({clock, deadline, serviceMs, onUnreachable});
 */
export function startDeadlineTimer(options: {
  readonly clock: Clock;
  /** Monotonic milliseconds. */
  readonly deadline: number;
  readonly serviceMs: () => number;
  readonly onUnreachable: () => void;
}): Disposable {
  const {clock, deadline, serviceMs, onUnreachable} = options;
  let timer = scheduleCheck();

  function scheduleCheck(): Disposable {
    const remainingMs = deadline - clock.now() - serviceMs();
    return clock.after(Math.max(MIN_RECHECK_MS, remainingMs), checkDeadline);
  }

  function checkDeadline() {
    if (deadline - clock.now() > serviceMs()) {
      timer = scheduleCheck();
      return;
    }
    onUnreachable();
  }

  return {dispose: () => timer.dispose()};
}
