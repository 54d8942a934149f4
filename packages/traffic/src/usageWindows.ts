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
  /** Takes over another process's counts; `peer` names it with its incarnation. */
  noteCounts(peer: string, counts: WindowCounts): void;
  /** Counts of a window over all processes heard of. */
  total(window: number): CustomerCounts;
  windowAt(wallMs: number): number;
}

/** Windows kept, counted back from the newest: a report may wait for the platform that long. */
const KEPT_WINDOWS = 8;

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
}): UsageWindows {
  const {windowMs, self} = options;
  const byProcess = new Map<string, Record<string, Record<string, number>>>();
  byProcess.set(self, {});

  function windowAt(wallMs: number): number {
    return Math.floor(wallMs / windowMs);
  }

  function dropOld(counts: Record<string, unknown>, newest: number): void {
    for (const window of Object.keys(counts)) {
      if (Number(window) <= newest - KEPT_WINDOWS) {
        delete counts[window];
      }
    }
  }

  return {
    windowAt,
    note(customer, wallMs) {
      const window = windowAt(wallMs);
      const counts = byProcess.get(self)!;
      const counted = (counts[window] ??= {});
      counted[customer] = (counted[customer] ?? 0) + 1;
      dropOld(counts, window);
    },
    own: () => byProcess.get(self)!,
    noteCounts(peer, counts) {
      const kept = byProcess.get(peer) ?? {};
      // A process that drops an old window has not taken its counts back.
      Object.assign(kept, counts);
      const newest = Math.max(0, ...Object.keys(kept).map(Number));
      dropOld(kept, newest);
      byProcess.set(peer, kept);
      for (const [process, known] of byProcess) {
        if (process !== self && Object.keys(known).every(isOlderThan(newest))) {
          byProcess.delete(process);
        }
      }
    },
    total(window) {
      const sum: Record<string, number> = {};
      for (const counts of byProcess.values()) {
        for (const [customer, count] of Object.entries(counts[window] ?? {})) {
          sum[customer] = (sum[customer] ?? 0) + count;
        }
      }
      return sum;
    },
  };
}

function isOlderThan(newest: number): (window: string) => boolean {
  return window => Number(window) <= newest - KEPT_WINDOWS;
}
