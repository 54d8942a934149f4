/** Time as the decisions see it, so that tests can drive it. */
import {toDisposable, type Disposable} from './disposables.js';
import {ServingError} from './errors.js';
import {createTimerWheel} from './timerWheel.js';

export interface Clock {
  /** Monotonic milliseconds from an arbitrary start; never goes back. */
  now(): number;
  /** Wall-clock milliseconds since 1970; may jump. */
  wall(): number;
  /** Calls back once after the delay in milliseconds, unless disposed before. */
  after(delayMs: number, callback: () => void): Disposable;
}

const MS_PER_SECOND = 1_000;
const NS_PER_MS = 1_000_000;

/** Delay from which timers are coalesced, and the distance of their slots, in milliseconds. */
const FROM_MS = 200;
const SLOT_MS = 50;

/**
 * The clock of the running process.
 *
 * Timers do not keep the process alive: what serves holds sockets, and a
 * process with nothing but timers left is finished. Long ones fire up to 50 ms
 * late, together.
 *
 * @example
 * const clock = systemClock();
 * const start = clock.now();
 */
export function systemClock(): Clock {
  const wheel = createTimerWheel({slotMs: SLOT_MS, now, arm});
  return {
    now,
    wall: () => Date.now(),
    after: (delayMs, callback) =>
      delayMs < FROM_MS
        ? arm(Math.max(0, delayMs), callback)
        : wheel.at(now() + delayMs, callback),
  };
}

/** Monotonic milliseconds. `performance` would load several modules of Node at every start. */
function now(): number {
  const [seconds, nanoseconds] = process.hrtime();
  return seconds * MS_PER_SECOND + nanoseconds / NS_PER_MS;
}

function arm(delayMs: number, callback: () => void): Disposable {
  const timer = setTimeout(callback, Math.ceil(delayMs));
  timer.unref();
  return toDisposable(() => clearTimeout(timer));
}

/**
 * Calls back every interval until disposed; the next call is planned after the
 * previous returned, so a slow callback never piles up.
 *
 * @example
 * store.add(every(clock, 500, sendHeartbeats));
 */
export function every(
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
 * Waits on the given clock; rejects with `cancelled` when the signal aborts.
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
