/** Clock whose timers fail by themselves. */
import type {Clock} from './clock.js';

/**
 * Returns a clock that passes the errors of timer callbacks on, so that a timer
 * that throws does not end the process. Repeated tasks are called again at
 * their next interval.
 *
 * @example
 * const clock = createContainedClock(systemClock(), error =>
 *   log.error({err: error}, 'timer failed'));
 */
export function createContainedClock(
  clock: Clock,
  onDidFail: (error: unknown) => void,
): Clock {
  return {
    ...clock,
    after: (delayMs, callback) =>
      clock.after(delayMs, () => {
        try {
          callback();
        } catch (error) {
          onDidFail(error);
        }
      }),
  };
}
