/** Clock that advances only on request, for tests and decision replays. */
import type {Clock} from './clock.js';
import {toDisposable} from './disposables.js';

export interface VirtualClock extends Clock {
  /**
   * Advances time by `spanMs` and runs the timers that fall due, in order;
   * settles promises after each timer.
   */
  advance(spanMs: number): Promise<void>;
  /** Like `advance`, but without settling promises, for synchronous replays. */
  advanceSync(spanMs: number): void;
  /** Advances time without running timers, as after a process pause. */
  jump(spanMs: number): void;
  /** Shifts only the wall clock. */
  shiftWall(spanMs: number): void;
}

interface Timer {
  readonly dueMs: number;
  readonly sequence: number;
  readonly callback: () => void;
}

/** Microtask rounds that let promises settle after each timer. */
const SETTLE_MICROTASK_ROUNDS = 24;

/**
 * Creates a virtual clock whose monotonic time starts at 0.
 *
 * @example
 * const clock = createVirtualClock();
 * clock.after(1000, () => calls.push(clock.now()));
 * await clock.advance(1000);
 */
export function createVirtualClock(
  startWallMs = 1_800_000_000_000,
): VirtualClock {
  let nowMs = 0;
  let wallOffsetMs = startWallMs;
  let nextSequence = 0;
  const timers = new Set<Timer>();

  function removeNextDueTimer(limitMs: number): Timer | undefined {
    let nextTimer: Timer | undefined;
    for (const timer of timers) {
      if (timer.dueMs > limitMs) {
        continue;
      }
      if (nextTimer === undefined || isBefore(timer, nextTimer)) {
        nextTimer = timer;
      }
    }
    if (nextTimer !== undefined) {
      timers.delete(nextTimer);
    }
    return nextTimer;
  }

  function runNextDueTimer(limitMs: number): boolean {
    const timer = removeNextDueTimer(limitMs);
    if (timer === undefined) {
      return false;
    }
    nowMs = Math.max(nowMs, timer.dueMs);
    timer.callback();
    return true;
  }

  return {
    now: () => nowMs,
    wall: () => wallOffsetMs + nowMs,
    after(delayMs, callback) {
      const timer = {
        dueMs: nowMs + Math.max(0, delayMs),
        sequence: nextSequence++,
        callback,
      };
      timers.add(timer);
      return toDisposable(() => timers.delete(timer));
    },
    async advance(spanMs) {
      const limitMs = nowMs + spanMs;
      await settlePromises();
      while (runNextDueTimer(limitMs)) {
        await settlePromises();
      }
      nowMs = Math.max(nowMs, limitMs);
    },
    advanceSync(spanMs) {
      const limitMs = nowMs + spanMs;
      while (runNextDueTimer(limitMs)) {
        // Runs every due timer, including timers added by other timers.
      }
      nowMs = Math.max(nowMs, limitMs);
    },
    jump(spanMs) {
      nowMs += spanMs;
    },
    shiftWall(spanMs) {
      wallOffsetMs += spanMs;
    },
  };
}

function isBefore(a: Timer, b: Timer): boolean {
  if (a.dueMs !== b.dueMs) {
    return a.dueMs < b.dueMs;
  }
  return a.sequence < b.sequence;
}

/** Runs the promise reactions that are already queued. */
export async function settlePromises(): Promise<void> {
  for (let round = 0; round < SETTLE_MICROTASK_ROUNDS; round++) {
    await Promise.resolve();
  }
}
