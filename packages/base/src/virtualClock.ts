/** A clock that moves only when it is told to, for tests and decision replays. */
import type {Clock} from './clock.js';
import {toDisposable} from './disposables.js';

export interface VirtualClock extends Clock {
  /** Runs every timer due within the span, in order, and settles promises between them. */
  advance(spanMs: number): Promise<void>;
  /** Like `advance`, without yielding to promises: for purely synchronous replays. */
  advanceSync(spanMs: number): void;
  /** Moves monotonic and wall time without running timers: what a paused process sees on waking. */
  pause(spanMs: number): void;
  /** Shifts the wall clock alone. */
  shiftWall(spanMs: number): void;
}

interface Timer {
  readonly dueMs: number;
  readonly order: number;
  readonly callback: () => void;
}

/** Rounds of the microtask queue given to promises after each timer. */
const SETTLE_ROUNDS = 24;

/**
 * Makes a virtual clock that starts at monotonic 0.
 *
 * @example
 * const clock = virtualClock();
 * clock.after(1000, () => beats.push(clock.now()));
 * await clock.advance(1000);
 */
export function virtualClock(startWallMs = 1_800_000_000_000): VirtualClock {
  let nowMs = 0;
  let wallOffsetMs = startWallMs;
  let nextOrder = 0;
  const timers = new Set<Timer>();

  function takeNextDue(limitMs: number): Timer | undefined {
    let next: Timer | undefined;
    for (const timer of timers) {
      if (timer.dueMs > limitMs) {
        continue;
      }
      if (next === undefined || isBefore(timer, next)) {
        next = timer;
      }
    }
    if (next !== undefined) {
      timers.delete(next);
    }
    return next;
  }

  function runNextDue(limitMs: number): boolean {
    const timer = takeNextDue(limitMs);
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
        order: nextOrder++,
        callback,
      };
      timers.add(timer);
      return toDisposable(() => timers.delete(timer));
    },
    async advance(spanMs) {
      const limitMs = nowMs + spanMs;
      await settlePromises();
      while (runNextDue(limitMs)) {
        await settlePromises();
      }
      nowMs = Math.max(nowMs, limitMs);
    },
    advanceSync(spanMs) {
      const limitMs = nowMs + spanMs;
      while (runNextDue(limitMs)) {
        // Every due timer has to run, also those that a timer has just added.
      }
      nowMs = Math.max(nowMs, limitMs);
    },
    pause(spanMs) {
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
  return a.order < b.order;
}

/** Lets promise reactions that are already queued run to their end. */
export async function settlePromises(): Promise<void> {
  for (let round = 0; round < SETTLE_ROUNDS; round++) {
    await Promise.resolve();
  }
}
