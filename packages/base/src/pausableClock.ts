/** Clock of one simulated process, with pauses and clock drift. */
import type {Clock} from './clock.js';
import {toDisposable} from './disposables.js';

export interface PausableClock extends Clock {
  readonly isPaused: boolean;
  /** Defers due timers while time continues, like SIGSTOP. */
  pause(): void;
  /** Runs the deferred timers in order. */
  resume(): void;
  /** Drops all deferred and pending timers, like a crash of the process. */
  kill(): void;
}

/**
 * Creates a clock that is derived from a shared clock.
 *
 * @param rate Speed relative to the shared clock, like 1.001.
 * @example
 * const clock = createPausableClock(sharedClock, 0.999);
 * clock.pause();
 */
export function createPausableClock(
  sharedClock: Clock,
  rate = 1,
): PausableClock {
  const startMs = sharedClock.now();
  const startWallMs = sharedClock.wall();
  const deferredCallbacks: (() => void)[] = [];
  let isPaused = false;
  let isKilled = false;

  function runOrDefer(callback: () => void): void {
    if (isKilled) {
      return;
    }
    if (isPaused) {
      deferredCallbacks.push(callback);
      return;
    }
    callback();
  }

  return {
    get isPaused() {
      return isPaused;
    },
    now: () => startMs + (sharedClock.now() - startMs) * rate,
    wall: () => startWallMs + (sharedClock.wall() - startWallMs) * rate,
    after(delayMs, callback) {
      let isDisposed = false;
      const timer = sharedClock.after(Math.max(0, delayMs) / rate, () =>
        runOrDefer(() => {
          if (!isDisposed) {
            callback();
          }
        }),
      );
      return toDisposable(() => {
        isDisposed = true;
        timer.dispose();
      });
    },
    pause() {
      isPaused = true;
    },
    resume() {
      isPaused = false;
      for (const callback of deferredCallbacks.splice(0)) {
        runOrDefer(callback);
      }
    },
    kill() {
      isKilled = true;
    },
  };
}
