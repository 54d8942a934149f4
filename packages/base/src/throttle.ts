/** Limits how often an action runs. */
import type {Clock} from './clock.js';

/**
 * Returns a function that runs the action at once or, within `intervalMs` after
 * its last run, once at the end of that interval, however often it is called.
 *
 * @example
 * const refreshSoon = throttle(clock, 100, refresh);
 */
export function throttle(
  clock: Clock,
  intervalMs: number,
  action: () => void,
): () => void {
  let lastRunAt = -Infinity;
  let isScheduled = false;

  function run(): void {
    isScheduled = false;
    lastRunAt = clock.now();
    action();
  }

  return () => {
    if (isScheduled) {
      return;
    }
    const waitMs = lastRunAt + intervalMs - clock.now();
    if (waitMs <= 0) {
      run();
      return;
    }
    isScheduled = true;
    clock.after(waitMs, run);
  };
}
