/** Virtual clock with a timer heap, for many concurrent requests. */
import {toDisposable, type Clock} from '@skylarkfield/base';

export interface ReplayClock extends Clock {
  /** Runs the timers due by the given time, and microtasks after each timer. */
  run(untilMs: number): Promise<void>;
}

interface Timer {
  readonly dueMs: number;
  readonly sequence: number;
  callback: (() => void) | undefined;
}

/** Microtask rounds after each timer; no await chain in a replay is longer. */
const MICROTASK_ROUNDS = 8;

/**
 * Creates a replay clock that starts at 0.
 *
 * @example
 * const clock = createReplayClock();
 * clock.after(10, arrive);
 * await clock.run(60_000);
 */
export function createReplayClock(
  startWallMs = 1_800_000_000_000,
): ReplayClock {
  const heap: Timer[] = [];
  let nowMs = 0;
  let nextSequence = 0;
  return {
    now: () => nowMs,
    wall: () => startWallMs + nowMs,
    after(delayMs, callback) {
      const dueMs = nowMs + Math.max(0, delayMs);
      const timer: Timer = {dueMs, sequence: nextSequence++, callback};
      if (dueMs < Infinity) {
        pushTimer(heap, timer);
      }
      return toDisposable(() => (timer.callback = undefined));
    },
    async run(untilMs) {
      while (heap[0] !== undefined && heap[0].dueMs <= untilMs) {
        const timer = popTimer(heap);
        const callback = timer.callback;
        if (callback === undefined) {
          continue;
        }
        nowMs = timer.dueMs;
        callback();
        for (let round = 0; round < MICROTASK_ROUNDS; round++) {
          await Promise.resolve();
        }
      }
      nowMs = untilMs;
    },
  };
}

function isBefore(a: Timer, b: Timer): boolean {
  return a.dueMs === b.dueMs ? a.sequence < b.sequence : a.dueMs < b.dueMs;
}

function pushTimer(heap: Timer[], timer: Timer) {
  let index = heap.length;
  heap.push(timer);
  while (index > 0) {
    const parent = (index - 1) >> 1;
    if (isBefore(heap[parent] as Timer, timer)) {
      break;
    }
    heap[index] = heap[parent] as Timer;
    index = parent;
  }
  heap[index] = timer;
}

function popTimer(heap: Timer[]): Timer {
  const top = heap[0] as Timer;
  const last = heap.pop() as Timer;
  if (heap.length === 0) {
    return top;
  }
  let index = 0;
  for (;;) {
    let child = 2 * index + 1;
    if (child >= heap.length) {
      break;
    }
    const right = heap[child + 1];
    if (right !== undefined && isBefore(right, heap[child] as Timer)) {
      child += 1;
    }
    if (isBefore(last, heap[child] as Timer)) {
      break;
    }
    heap[index] = heap[child] as Timer;
    index = child;
  }
  heap[index] = last;
  return top;
}
