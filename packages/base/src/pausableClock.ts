/** The clock of one simulated process that can be paused and drifts from the others'. */
import type {Clock} from './clock.js';
import {toDisposable} from './disposables.js';

export interface PausableClock extends Clock {
  readonly isPaused: boolean;
  /** Time goes on, but due timers wait: what SIGSTOP does to a process. */
  pause(): void;
  /** Runs the timers that came due meanwhile, in order. */
  resume(): void;
  /** Drops all timers, also those that are still set: the process has died. */
  kill(): void;
}

/**
 * Makes a clock over a common one.
 *
 * @param rate How fast it runs compared with the common clock, like 1.001.
 * @example
 * const clock = pausableClock(common, 0.999);
 * clock.pause();
 */
export function pausableClock(common: Clock, rate = 1): PausableClock {
  const startMs = common.now();
  const startWallMs = common.wall();
  const waiting: (() => void)[] = [];
  let isPaused = false;
  let isDead = false;

  function run(callback: () => void): void {
    if (isDead) {
      return;
    }
    if (isPaused) {
      waiting.push(callback);
      return;
    }
    callback();
  }

  return {
    get isPaused() {
      return isPaused;
    },
    now: () => startMs + (common.now() - startMs) * rate,
    wall: () => startWallMs + (common.wall() - startWallMs) * rate,
    after(delayMs, callback) {
      let isDisposed = false;
      const timer = common.after(Math.max(0, delayMs) / rate, () =>
        run(() => {
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
      for (const callback of waiting.splice(0)) {
        run(callback);
      }
    },
    kill() {
      isDead = true;
    },
  };
}
