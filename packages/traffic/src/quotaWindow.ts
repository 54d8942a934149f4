/** Sliding window over one customer's usage, at this entry and at its peers. */

/** Resolution of a window. */
const SLOTS = 32;

export interface QuotaWindow {
  /** Records usage; negative amounts are refunds. */
  add(now: number, source: UsageSource, amount: number): void;
  /** Weighted usage within the window. */
  used(now: number, weights: UsageWeights): number;
  /** Milliseconds until usage falls below a limit without new requests, at most the window. */
  msUntilBelow(now: number, weights: UsageWeights, limit: number): number;
  /** Scales all recorded usage. */
  scale(factor: number): void;
}

/** Weights of usage outside this entry, 0 to 1. */
export interface UsageWeights {
  readonly others: number;
  readonly before: number;
}

/** `before` is the usage assumed from before the process started. */
export type UsageSource = 'own' | 'others' | 'before';

const SOURCES = ['own', 'others', 'before'] as const;

/**
 * Creates a window that ends at `now`, in monotonic milliseconds, with an initial
 * usage spread evenly over it.
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
  const slotMs = options.windowMs / SLOTS;
  // One more than the window, since the newest slot is incomplete.
  const length = SLOTS + 1;
  const slots: Record<UsageSource, number[]> = {
    own: new Array<number>(length).fill(0),
    others: new Array<number>(length).fill(0),
    before: new Array<number>(length).fill(options.initial / length),
  };
  const totals: Record<UsageSource, number> = {
    own: 0,
    others: 0,
    before: options.initial,
  };
  let newest = Math.floor(options.now / slotMs);

  function advance(now: number): void {
    const target = Math.floor(now / slotMs);
    newest = Math.max(newest, target - length);
    while (newest < target) {
      newest += 1;
      SOURCES.forEach(source => drop(source, newest % length));
    }
  }

  function drop(source: UsageSource, place: number): void {
    totals[source] -= slots[source][place]!;
    slots[source][place] = 0;
  }

  function weighted(
    {own, others, before}: Readonly<Record<UsageSource, number>>,
    weights: UsageWeights,
  ): number {
    return own + others * weights.others + before * weights.before;
  }

  function slotAt(place: number): Record<UsageSource, number> {
    return {
      own: slots.own[place]!,
      others: slots.others[place]!,
      before: slots.before[place]!,
    };
  }

  return {
    add(now, source, amount) {
      advance(now);
      const place = newest % length;
      slots[source][place] = slots[source][place]! + amount;
      totals[source] += amount;
    },
    used(now, weights) {
      advance(now);
      return weighted(totals, weights);
    },
    msUntilBelow(now, weights, limit) {
      advance(now);
      let rest = weighted(totals, weights);
      for (let step = 1; step <= length; step++) {
        if (rest < limit) {
          return step === 1 ? 0 : (newest + step - 1) * slotMs - now;
        }
        const place = (newest + step) % length;
        rest -= weighted(slotAt(place), weights);
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
