/** Sliding window over one customer's usage, at this entry and at its peers. */

/** Number of slots that a window is divided into. */
const SLOTS_PER_WINDOW = 32;

export interface QuotaWindow {
  /** Records usage; negative amounts are refunds. */
  add(now: number, source: UsageSource, amount: number): void;
  /** Weighted usage within the window. */
  used(now: number, weights: UsageWeights): number;
  /**
   * Milliseconds until usage without new requests is below a limit, at most the
   * window.
   */
  msUntilBelow(now: number, weights: UsageWeights, limit: number): number;
  /** Scales all recorded usage. */
  scale(factor: number): void;
}

/** Weights of the usage sources other than `own`, 0 to 1. */
export interface UsageWeights {
  readonly others: number;
  readonly before: number;
}

/** `before` is the usage assumed from before the process started. */
export type UsageSource = 'own' | 'others' | 'before';

const SOURCES = ['own', 'others', 'before'] as const;

/**
 * Creates a window that ends at `now`, in monotonic milliseconds, with an
 * initial usage spread evenly over it.
 *
 * @example
 * const window = createQuotaWindow({windowMs: 8_000, now: clock.now(), initial: 700});
 * window.add(clock.now(), 'own', 1_540);
 */
export function createQuotaWindow(options: {
  readonly windowMs: number;
  readonly now: number;
  readonly initial: number;
}): QuotaWindow {
  const slotMs = options.windowMs / SLOTS_PER_WINDOW;
  // One more than the window has, since the newest slot is incomplete.
  const slotCount = SLOTS_PER_WINDOW + 1;
  const slots: Record<UsageSource, number[]> = {
    own: new Array<number>(slotCount).fill(0),
    others: new Array<number>(slotCount).fill(0),
    before: new Array<number>(slotCount).fill(options.initial / slotCount),
  };
  const totals: Record<UsageSource, number> = {
    own: 0,
    others: 0,
    before: options.initial,
  };
  let newestSlot = Math.floor(options.now / slotMs);

  function advance(now: number): void {
    const currentSlot = Math.floor(now / slotMs);
    newestSlot = Math.max(newestSlot, currentSlot - slotCount);
    while (newestSlot < currentSlot) {
      newestSlot += 1;
      SOURCES.forEach(source => clearSlot(source, newestSlot % slotCount));
    }
  }

  function clearSlot(source: UsageSource, index: number): void {
    totals[source] -= slots[source][index]!;
    slots[source][index] = 0;
  }

  function weightedSum(
    {own, others, before}: Readonly<Record<UsageSource, number>>,
    weights: UsageWeights,
  ): number {
    return own + others * weights.others + before * weights.before;
  }

  function slotAt(index: number): Record<UsageSource, number> {
    return {
      own: slots.own[index]!,
      others: slots.others[index]!,
      before: slots.before[index]!,
    };
  }

  return {
    add(now, source, amount) {
      advance(now);
      const index = newestSlot % slotCount;
      slots[source][index] = slots[source][index]! + amount;
      totals[source] += amount;
    },
    used(now, weights) {
      advance(now);
      return weightedSum(totals, weights);
    },
    msUntilBelow(now, weights, limit) {
      advance(now);
      let remaining = weightedSum(totals, weights);
      for (let step = 1; step <= slotCount; step++) {
        if (remaining < limit) {
          return step === 1 ? 0 : (newestSlot + step - 1) * slotMs - now;
        }
        const index = (newestSlot + step) % slotCount;
        remaining -= weightedSum(slotAt(index), weights);
      }
      return options.windowMs;
    },
    scale(factor) {
      for (const source of SOURCES) {
        slots[source] = slots[source].map(amount => amount * factor);
        totals[source] *= factor;
      }
    },
  };
}
