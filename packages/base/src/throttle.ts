/** Limits how often an action runs, by time or by key. */
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

/**
 * Returns a function that returns whether it is called for the first time with
 * a key. It remembers the last `capacity` new keys.
 *
 * @example
 * const isFirst = createFirstOccurrences(1_000);
 * if (isFirst(endpoint)) { log.warn({endpoint}, 'malformed report'); }
 */
export function createFirstOccurrences(
  capacity: number,
): (key: string) => boolean {
  const keys = new Set<string>();
  return key => {
    if (keys.has(key)) {
      return false;
    }
    keys.add(key);
    if (keys.size > capacity) {
      const [oldest] = keys;
      keys.delete(oldest!);
    }
    return true;
  };
}
