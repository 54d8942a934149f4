/**
 * Requests that began to run, by customer and window of the wall clock.
 *
 * Every entry counts its own and tells the others its counts of the last
 * windows, so that whoever reports a window has them all, and a successor too.
 */

/** Requests by customer. */
export type CustomerCounts = Readonly<Record<string, number>>;

/** Counts of one process by window number. */
export type WindowCounts = Readonly<Record<string, CustomerCounts>>;

export interface UsageWindows {
  /** A request of the customer began to run at this wall-clock millisecond. */
  note(customer: string, wallMs: number): void;
  /** This process's counts of the windows that are kept. */
  own(): WindowCounts;
  /** Counts of the kept windows over this process and all others that are near. */
  near(): WindowCounts;
  /**
   * Takes over counts of another process, named with its incarnation, or of a
   * group of processes. `isNear` tells whether `near` includes them.
   */
  noteCounts(source: string, counts: WindowCounts, isNear?: boolean): void;
  /** Counts of a window over all processes heard of. */
  total(window: number): CustomerCounts;
  windowAt(wallMs: number): number;
}

/** Windows kept at least, counted back from the newest: a report may wait for the platform that long. */
const LEAST_KEPT_WINDOWS = 8;
/** Windows kept beyond those that may still be reported, for clocks that differ. */
const SPARE_WINDOWS = 3;

/**
 * Makes the counts of one process.
 *
 * @example
 * const usage = createUsageWindows({windowMs: 5_000, self: 'a1.17'});
 * usage.note('chain-4', clock.wall());
 */
export function createUsageWindows(options: {
  readonly windowMs: number;
  /** This process with its incarnation. */
  readonly self: string;
  /** How long after its end a window may be reported, in milliseconds. */
  readonly lateMs?: number;
}): UsageWindows {
  const {windowMs, self, lateMs = 0} = options;
  const keptWindows = Math.max(
    LEAST_KEPT_WINDOWS,
    Math.ceil(lateMs / windowMs) + SPARE_WINDOWS,
  );
  const bySource = new Map<string, Record<string, Record<string, number>>>();
  const nearSources = new Set([self]);
  bySource.set(self, {});

  function windowAt(wallMs: number): number {
    return Math.floor(wallMs / windowMs);
  }

  function dropOld(counts: Record<string, unknown>, newest: number): void {
    for (const window of Object.keys(counts)) {
      if (Number(window) <= newest - keptWindows) {
        delete counts[window];
      }
    }
  }

  function isOlderThan(newest: number): (window: string) => boolean {
    return window => Number(window) <= newest - keptWindows;
  }

  function forgetOldSources(newest: number): void {
    for (const [source, counts] of bySource) {
      if (source !== self && Object.keys(counts).every(isOlderThan(newest))) {
        bySource.delete(source);
        nearSources.delete(source);
      }
    }
  }

  return {
    windowAt,
    note(customer, wallMs) {
      const window = windowAt(wallMs);
      const counts = bySource.get(self)!;
      const counted = (counts[window] ??= {});
      counted[customer] = (counted[customer] ?? 0) + 1;
      dropOld(counts, window);
    },
    own: () => bySource.get(self)!,
    near() {
      const sum: Record<string, Record<string, number>> = {};
      for (const source of nearSources) {
        for (const [window, counts] of Object.entries(bySource.get(source)!)) {
          addCounts((sum[window] ??= {}), counts);
        }
      }
      return sum;
    },
    noteCounts(source, counts, isNear = false) {
      const kept = bySource.get(source) ?? {};
      bySource.set(source, kept);
      if (isNear) {
        nearSources.add(source);
      }
      for (const [window, counted] of Object.entries(counts)) {
        raiseCounts((kept[window] ??= {}), counted);
      }
      const newest = Math.max(0, ...Object.keys(kept).map(Number));
      dropOld(kept, newest);
      forgetOldSources(newest);
    },
    total(window) {
      const sum: Record<string, number> = {};
      for (const counts of bySource.values()) {
        addCounts(sum, counts[window] ?? {});
      }
      return sum;
    },
  };
}

function addCounts(to: Record<string, number>, from: CustomerCounts): void {
  for (const [customer, count] of Object.entries(from)) {
    to[customer] = (to[customer] ?? 0) + count;
  }
}

/**
 * Counts only grow: a lower one is from a relay that has not heard all of its
 * group again since its start.
 */
function raiseCounts(to: Record<string, number>, from: CustomerCounts): void {
  for (const [customer, count] of Object.entries(from)) {
    to[customer] = Math.max(to[customer] ?? 0, count);
  }
}
