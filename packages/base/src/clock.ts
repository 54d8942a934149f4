/** Sources of time and timers, replaceable in tests. */
import {toDisposable, type Disposable} from './disposables.js';
import {ServingError} from './errors.js';
import {createTimerWheel} from './timerWheel.js';

export interface Clock {
  /** Monotonic milliseconds from an arbitrary start; never goes back. */
  now(): number;
  /** Wall-clock milliseconds since 1970; may jump. */
  wall(): number;
  /** Calls back once after the delay, unless the timer is disposed before. */
  after(delayMs: number, callback: () => void): Disposable;
}

const MS_PER_SECOND = 1_000;
const NS_PER_MS = 1_000_000;

/** Minimum delay and slot width of coalesced timers, in milliseconds. */
const MIN_COALESCED_DELAY_MS = 200;
const TIMER_SLOT_MS = 50;

/** Maximum delay of a Node.js timer; a longer one would fire at once. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/**
 * Returns the clock of the running process.
 *
 * Timers do not keep the process alive: a serving process has open sockets, and
 * a process with only timers left is finished. Timers of 200 ms or more are
 * coalesced and fire up to 50 ms late.
 *
 * @example
 * const clock = systemClock();
 * const start = clock.now();
 */
export function systemClock(): Clock {
  const wheel = createTimerWheel({slotMs: TIMER_SLOT_MS, now, arm});
  return {
    now,
    wall: () => Date.now(),
    after: (delayMs, callback) =>
      delayMs < MIN_COALESCED_DELAY_MS
        ? arm(Math.max(0, delayMs), callback)
        : wheel.schedule(now() + delayMs, callback),
  };
}

/** Monotonic milliseconds; `performance` would load more modules at startup. */
function now(): number {
  const [seconds, nanoseconds] = process.hrtime();
  return seconds * MS_PER_SECOND + nanoseconds / NS_PER_MS;
}

/** Starts a timer; one beyond `MAX_TIMER_MS` calls back early. */
function arm(delayMs: number, callback: () => void): Disposable {
  const timer = setTimeout(
    callback,
    Math.min(MAX_TIMER_MS, Math.ceil(delayMs)),
  );
  timer.unref();
  return toDisposable(() => clearTimeout(timer));
}

/**
 * Calls back at an interval until disposed. Schedules the next call when the
 * previous one returns, so calls never overlap.
 *
 * @example
 * store.add(scheduleRepeatedly(clock, 500, sendHeartbeats));
 */
export function scheduleRepeatedly(
  clock: Clock,
  intervalMs: number,
  callback: () => void,
): Disposable {
  let timer = clock.after(intervalMs, tick);
  let isDisposed = false;
  function tick() {
    try {
      callback();
    } finally {
      if (!isDisposed) {
        timer = clock.after(intervalMs, tick);
      }
    }
  }
  return toDisposable(() => {
    isDisposed = true;
    timer.dispose();
  });
}

/**
 * Waits for a delay; rejects with `cancelled` if the signal aborts.
 *
 * @example
 * await sleep(clock, 200, signal);
 */
export function sleep(
  clock: Clock,
  delayMs: number,
  signal?: AbortSignal,
): Promise<void> {
  return new Promise((resolve, reject) => {
    if (signal?.aborted) {
      reject(cancelledError());
      return;
    }
    const timer = clock.after(delayMs, () => {
      signal?.removeEventListener('abort', onAbort);
      resolve();
    });
    function onAbort() {
      timer.dispose();
      reject(cancelledError());
    }
    signal?.addEventListener('abort', onAbort, {once: true});
  });
}

function cancelledError(): ServingError {
  return new ServingError('cancelled', 'the wait was cancelled');
}
