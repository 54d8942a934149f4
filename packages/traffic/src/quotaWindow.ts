/** Sliding window over one customer's usage, at this entry and at its peers. */

/** Number of time slots that a window is divided into. */
const SLOTS_PER_WINDOW = 32;

/** Usage of one customer within a window; times are monotonic milliseconds. */
export interface QuotaWindow {
  /** Sets what the quota allows per window from now on. */
  setAllowance(nowMs: number, allowance: number): void;
  /**
   * Records usage. A refund is a negative amount at the time of its charge,
   * `atMs`; it has no effect once the charge has left the window.
   */
  recordUsage(
    nowMs: number,
    source: UsageSource,
    amount: number,
    atMs?: number,
  ): void;
  /**
   * Returns the usage within the window. Usage under a quota that was larger
   * than it is now counts in proportion, or a lowered quota would block its
   * customer for a window.
   */
  weightedUsage(nowMs: number, weights: UsageWeights): number;
  /** Returns what this entry has granted in the newest slots of a span. */
  recentOwnUsage(nowMs: number, spanMs: number): number;
  /**
   * Returns the milliseconds until the weighted usage is below the limit if no
   * more usage is recorded; at most the length of the window.
   */
  msUntilBelow(nowMs: number, weights: UsageWeights, limit: number): number;
  /**
   * Turns all usage into usage of `lost`, as peers on the other side of a
   * partition count their fraction of it too.
   */
  markAllAsLost(): void;
}

/**
 * `own`: usage granted by this entry. `others`: usage reported by peers.
 * `lost`: usage before peers were lost, and usage assumed of such peers.
 * `before`: usage assumed for the time before this process started.
 */
export type UsageSource = 'own' | 'others' | 'lost' | 'before';

/** Weights of usage that this entry has not granted, 0 to 1. */
export interface UsageWeights {
  readonly others: number;
  /** Weight of the sources `lost` and `before`. */
  readonly assumed: number;
}

/** Usage in one slot. */
type Slot = Record<UsageSource, number> & {
  /** All that this entry granted in the slot, whatever its source is now. */
  granted: number;
  /** Smallest allowance that was in force during the slot. */
  allowance: number;
};

/**
 * Creates a window that ends at `startMs`, with the initial usage spread evenly
 * over the window.
 *
 * @example
 * const window = createQuotaWindow({
 *   windowMs: 8_000, startMs: clock.now(), initialUsage: 700, allowance: 9_000,
 * });
 * window.recordUsage(clock.now(), 'own', 1_540);
 */
export function createQuotaWindow(options: {
  readonly windowMs: number;
  readonly startMs: number;
  readonly initialUsage: number;
  readonly allowance: number;
}): QuotaWindow {
  const slotMs = options.windowMs / SLOTS_PER_WINDOW;
  // One slot more than the window has, since the newest slot is incomplete.
  const slotCount = SLOTS_PER_WINDOW + 1;
  let allowance = options.allowance;
  const slots = Array.from({length: slotCount}, () => ({
    ...emptySlot(),
    before: options.initialUsage / slotCount,
  }));
  let newestSlot = slotNumber(options.startMs);

  function slotNumber(atMs: number): number {
    return Math.floor(atMs / slotMs);
  }

  function emptySlot(): Slot {
    return {own: 0, others: 0, lost: 0, before: 0, granted: 0, allowance};
  }

  function advance(nowMs: number): void {
    const currentSlot = slotNumber(nowMs);
    newestSlot = Math.max(newestSlot, currentSlot - slotCount);
    while (newestSlot < currentSlot) {
      newestSlot += 1;
      slots[newestSlot % slotCount] = emptySlot();
    }
  }

  function usageOf(slot: Slot, weights: UsageWeights): number {
    const usage =
      slot.own +
      slot.others * weights.others +
      (slot.lost + slot.before) * weights.assumed;
    return usage * Math.min(1, allowance / slot.allowance);
  }

  return {
    setAllowance(nowMs, newAllowance) {
      advance(nowMs);
      allowance = newAllowance;
      const slot = slots[newestSlot % slotCount]!;
      slot.allowance = Math.min(slot.allowance, newAllowance);
    },
    recordUsage(nowMs, source, amount, atMs = nowMs) {
      advance(nowMs);
      const number = slotNumber(atMs);
      if (number <= newestSlot - slotCount || number > newestSlot) {
        return;
      }
      const slot = slots[number % slotCount]!;
      slot[source] += amount;
      if (source === 'own') {
        slot.granted += amount;
      }
    },
    weightedUsage(nowMs, weights) {
      advance(nowMs);
      return slots.reduce((sum, slot) => sum + usageOf(slot, weights), 0);
    },
    recentOwnUsage(nowMs, spanMs) {
      advance(nowMs);
      const oldest = Math.max(
        slotNumber(nowMs - spanMs),
        newestSlot - slotCount + 1,
      );
      let usage = 0;
      for (let number = oldest; number <= newestSlot; number++) {
        usage += slots[number % slotCount]!.granted;
      }
      return usage;
    },
    msUntilBelow(nowMs, weights, limit) {
      let remainingUsage = this.weightedUsage(nowMs, weights);
      for (let step = 1; step <= slotCount; step++) {
        if (remainingUsage < limit) {
          return step === 1 ? 0 : (newestSlot + step - 1) * slotMs - nowMs;
        }
        const oldestSlot = slots[(newestSlot + step) % slotCount]!;
        remainingUsage -= usageOf(oldestSlot, weights);
      }
      return options.windowMs;
    },
    markAllAsLost() {
      for (const slot of slots) {
        slot.lost += slot.own + slot.others;
        slot.own = 0;
        slot.others = 0;
      }
    },
  };
}
