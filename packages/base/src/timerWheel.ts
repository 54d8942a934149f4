/**
 * Timer wheel that coalesces timers into slots, so that a process with many
 * periodic tasks wakes up once for all tasks of a slot.
 */
import {toDisposable, type Disposable} from './disposables.js';

export interface TimerWheel {
  /** Calls back in the first slot at or after a time of the wheel's clock. */
  at(dueMs: number, callback: () => void): Disposable;
}

/**
 * Creates a wheel with slots of the given width.
 *
 * @example
 * const wheel = createTimerWheel({slotMs: 50, now, arm});
 * const timer = wheel.at(now() + 300, sendDigest);
 */
export function createTimerWheel(options: {
  readonly slotMs: number;
  now(): number;
  /** Calls back once after a delay, never earlier. */
  arm(delayMs: number, callback: () => void): Disposable;
}): TimerWheel {
  const {slotMs, now} = options;
  const slots = new Map<number, Set<() => void>>();
  let armed: {readonly slot: number; readonly timer: Disposable} | undefined;

  function armFor(slot: number): void {
    armed?.timer.dispose();
    const delayMs = Math.max(0, slot * slotMs - now());
    armed = {slot, timer: options.arm(delayMs, fireDueSlots)};
  }

  function fireDueSlots(): void {
    armed = undefined;
    const currentSlot = Math.floor(now() / slotMs);
    const due = [...slots.keys()].filter(slot => slot <= currentSlot);
    for (const slot of due.sort((a, b) => a - b)) {
      const callbacks = slots.get(slot) ?? new Set();
      slots.delete(slot);
      callbacks.forEach(runCallback);
    }
    armNext();
  }

  function armNext(): void {
    if (slots.size === 0) {
      return;
    }
    const next = Math.min(...slots.keys());
    if (armed === undefined || next < armed.slot) {
      armFor(next);
    }
  }

  return {
    at(dueMs, callback) {
      const slot = Math.ceil(dueMs / slotMs);
      const callbacks = slots.get(slot) ?? new Set();
      // Wrapped, since the same function may be scheduled twice.
      const wrapper = () => callback();
      slots.set(slot, callbacks.add(wrapper));
      armNext();
      return toDisposable(() => {
        callbacks.delete(wrapper);
        if (callbacks.size === 0 && slots.get(slot) === callbacks) {
          slots.delete(slot);
        }
      });
    },
  };
}

/** Runs a callback; an exception is rethrown after the rest of the slot. */
function runCallback(callback: () => void): void {
  try {
    callback();
  } catch (error) {
    process.nextTick(() => {
      throw error;
    });
  }
}
