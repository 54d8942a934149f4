/**
 * Timer wheel that coalesces timers into slots, so that a process with many
 * periodic tasks wakes up once for all tasks of a slot.
 */
import {toDisposable, type Disposable} from './disposables.js';

export interface TimerWheel {
  /** Calls back in the first slot that starts at or after `dueMs`. */
  schedule(dueMs: number, callback: () => void): Disposable;
}

/**
 * Creates a wheel with slots of the given width.
 *
 * @example
 * const wheel = createTimerWheel({slotMs: 50, now, arm});
 * const timer = wheel.schedule(now() + 300, sendDigest);
 */
export function createTimerWheel(options: {
  readonly slotMs: number;
  now(): number;
  /**
   * Starts a timer that calls back once after a delay, never earlier, unless the
   * delay is longer than its maximum.
   */
  arm(delayMs: number, callback: () => void): Disposable;
}): TimerWheel {
  const {slotMs, now} = options;
  const slots = new Map<number, Set<() => void>>();
  let nextWakeUp:
    | {readonly slot: number; readonly timer: Disposable}
    | undefined;
  let isFiring = false;

  function armForSlot(slot: number): void {
    nextWakeUp?.timer.dispose();
    const delayMs = Math.max(0, slot * slotMs - now());
    nextWakeUp = {slot, timer: options.arm(delayMs, fireDueSlots)};
  }

  function fireDueSlots(): void {
    nextWakeUp = undefined;
    const currentSlot = Math.floor(now() / slotMs);
    const dueSlots = [...slots.keys()].filter(slot => slot <= currentSlot);
    isFiring = true;
    for (const slot of dueSlots.sort((a, b) => a - b)) {
      const callbacks = slots.get(slot) ?? new Set();
      slots.delete(slot);
      callbacks.forEach(runCallback);
    }
    isFiring = false;
    armForNextSlot();
  }

  function armForNextSlot(): void {
    if (slots.size === 0) {
      return;
    }
    armForSlot(Math.min(...slots.keys()));
  }

  return {
    schedule(dueMs, callback) {
      const slot = Math.ceil(dueMs / slotMs);
      const callbacks = slots.get(slot) ?? new Set();
      // The wrapper distinguishes two timers with the same function.
      const wrapper = () => callback();
      slots.set(slot, callbacks.add(wrapper));
      // While callbacks run, most of which schedule their next call, the next
      // wake-up is armed once at the end.
      if (!isFiring && (nextWakeUp === undefined || slot < nextWakeUp.slot)) {
        armForSlot(slot);
      }
      return toDisposable(() => {
        callbacks.delete(wrapper);
        if (callbacks.size === 0 && slots.get(slot) === callbacks) {
          slots.delete(slot);
        }
      });
    },
  };
}

/** Runs a callback; its exception is rethrown after the slot's callbacks. */
function runCallback(callback: () => void): void {
  try {
    callback();
  } catch (error) {
    process.nextTick(() => {
      throw error;
    });
  }
}
