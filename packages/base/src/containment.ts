/** Keeps the failure of one task from ending the process. */
import {systemClock, type Clock} from './clock.js';
import {createContainedClock} from './containedClock.js';
import {toServingError} from './errors.js';
import type {Logger} from './logger.js';

/** Where an error was thrown that its task did not handle. */
type FailedTask = 'timer' | 'promise';

/**
 * Logs the errors that tasks of this process do not handle, instead of ending
 * it, and returns its clock. Errors outside timers and promises still end it.
 *
 * @example
 * const clock = containFailures(log);
 */
export function containFailures(log: Logger): Clock {
  let failures = 0;

  function recordFailure(task: FailedTask, error: unknown): void {
    failures += 1;
    log.error({task, failures, err: toServingError(error)}, 'task failed');
  }

  process.on('unhandledRejection', reason => recordFailure('promise', reason));
  return createContainedClock(systemClock(), error =>
    recordFailure('timer', error),
  );
}
