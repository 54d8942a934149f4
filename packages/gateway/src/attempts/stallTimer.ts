/** Detects that an attempt has received no data for a while. */
import type {Clock, Disposable} from '@skylarkfield/base';

/** Silence of an endpoint that should have sent data. */
export interface Stall {
  /** Time since data last arrived, in milliseconds. */
  readonly silentMs: number;
  /** Time after which silence is a stall, in milliseconds. */
  readonly timeoutMs: number;
}

export interface StallTimer extends Disposable {
  /** Records that data arrived from the endpoint. */
  recordActivity(): void;
  /** Whether no data has arrived for the timeout. */
  isStalled(): boolean;
  /** Stops the timer while the endpoint is not read from. */
  pause(): void;
  resume(): void;
}

/** Lateness of a timer from which this process was paused, in milliseconds. */
const PAUSE_MS = 200;

/** Interval of the calls of `onDidStall` during a stall, in milliseconds. */
const STALL_INTERVAL_MS = 200;

const NO_TIMER: StallTimer = {
  recordActivity() {},
  isStalled: () => false,
  pause() {},
  resume() {},
  dispose() {},
};

/**
 * Starts the timer. `onDidStall` is called when no data has arrived for
 * `timeoutMs`, and again at intervals until data arrives. Without a timeout,
 * nothing is detected.
 *
 * @example
 * const timer = createStallTimer({clock, timeoutMs: 1_200, onDidStall});
 * timer.recordActivity();
 */
export function createStallTimer(options: {
  readonly clock: Clock;
  readonly timeoutMs: number | undefined;
  onDidStall(stall: Stall): void;
}): StallTimer {
  const {clock, onDidStall, timeoutMs} = options;
  return timeoutMs === undefined
    ? NO_TIMER
    : startTimer(clock, timeoutMs, onDidStall);
}

function startTimer(
  clock: Clock,
  timeoutMs: number,
  onDidStall: (stall: Stall) => void,
): StallTimer {
  let lastActivityAt = clock.now();
  let isPaused = false;
  let isDisposed = false;
  let timer: Disposable;

  /** Rechecking on expiry is cheaper than restarting the timer for each event. */
  function start(delayMs: number): void {
    const dueAt = clock.now() + delayMs;
    timer = clock.after(delayMs, () => {
      if (clock.now() - dueAt > PAUSE_MS) {
        // This process was paused; the response may wait in the socket.
        lastActivityAt = clock.now();
      }
      check();
    });
  }

  function check(): void {
    if (!isStalled()) {
      start(timeoutMs - (clock.now() - lastActivityAt));
      return;
    }
    onDidStall({silentMs: clock.now() - lastActivityAt, timeoutMs});
    if (!isPaused && !isDisposed) {
      start(STALL_INTERVAL_MS);
    }
  }

  function isStalled(): boolean {
    return !isPaused && clock.now() - lastActivityAt >= timeoutMs;
  }

  start(timeoutMs);
  return {
    recordActivity: () => void (lastActivityAt = clock.now()),
    isStalled,
    pause() {
      isPaused = true;
      timer.dispose();
    },
    resume() {
      if (isDisposed) {
        return;
      }
      isPaused = false;
      lastActivityAt = clock.now();
      timer.dispose();
      start(timeoutMs);
    },
    dispose() {
      isDisposed = true;
      timer.dispose();
    },
  };
}
