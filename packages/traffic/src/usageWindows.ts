/**
 * Counts started requests by customer and wall-clock window.
 *
 * Every entry counts its own requests and sends its counts of the last windows
 * to its peers, so that the entry that reports a window has all counts, and so
 * has an entry that takes over from it.
 */

/** Requests by customer. */
export type CustomerCounts = Readonly<Record<string, number>>;

/** Counts of one process by window number. */
export type WindowCounts = Readonly<Record<string, CustomerCounts>>;

export interface UsageWindows {
  /** Counts a request that started at this wall-clock time in milliseconds. */
  recordRequest(customer: string, wallMs: number): void;
  /** Returns this process's counts of the retained windows. */
  ownCounts(): WindowCounts;
  /** Returns counts of the retained windows over the failure domain. */
  domainCounts(): WindowCounts;
  /**
   * Merges counts of another process, identified with its incarnation, or of a
   * group of processes. `isSameDomain` sets whether `domainCounts` covers them.
   */
  mergeCounts(
    source: string,
    counts: WindowCounts,
    isSameDomain?: boolean,
  ): void;
  /** Returns the counts of a window over all known processes. */
  totalCounts(window: number): CustomerCounts;
  windowAt(wallMs: number): number;
}

/**
 * Minimum number of windows retained, the newest included: a platform outage
 * may delay a report by that many windows.
 */
const MIN_KEPT_WINDOWS = 8;
/** Windows retained beyond those still reportable, for clock skew. */
const SPARE_WINDOWS = 3;

/**
 * Creates the usage windows of one process.
 *
 * @example
 * const usage = createUsageWindows({windowMs: 5_000, self: 'a1.17'});
 * usage.recordRequest('chain-4', clock.wall());
 */
export function createUsageWindows(options: {
  readonly windowMs: number;
  /** Identifies this process and its incarnation. */
  readonly self: string;
  /** Time after a window's end in which it may be reported, in milliseconds. */
  readonly lateMs?: number;
}): UsageWindows {
  const {windowMs, self, lateMs = 0} = options;
  const keptWindows = Math.max(
    MIN_KEPT_WINDOWS,
    Math.ceil(lateMs / windowMs) + SPARE_WINDOWS,
  );
  const bySource = new Map<string, Record<string, Record<string, number>>>();
  const domainSources = new Set([self]);
  bySource.set(self, {});

  function windowAt(wallMs: number): number {
    return Math.floor(wallMs / windowMs);
  }

  function dropOldWindows(
    counts: Record<string, unknown>,
    newest: number,
  ): void {
    for (const window of Object.keys(counts)) {
      if (Number(window) <= newest - keptWindows) {
        delete counts[window];
      }
    }
  }

  function isExpiredAt(newest: number): (window: string) => boolean {
    return window => Number(window) <= newest - keptWindows;
  }

  function dropOldSources(newest: number): void {
    for (const [source, counts] of bySource) {
      if (source !== self && Object.keys(counts).every(isExpiredAt(newest))) {
        bySource.delete(source);
        domainSources.delete(source);
      }
    }
  }

  return {
    windowAt,
    recordRequest(customer, wallMs) {
      const window = windowAt(wallMs);
      const counts = bySource.get(self)!;
      const customerCounts = (counts[window] ??= {});
      customerCounts[customer] = (customerCounts[customer] ?? 0) + 1;
      dropOldWindows(counts, window);
    },
    ownCounts: () => bySource.get(self)!,
    domainCounts() {
      const sum: Record<string, Record<string, number>> = {};
      for (const source of domainSources) {
        for (const [window, counts] of Object.entries(bySource.get(source)!)) {
          addCounts((sum[window] ??= {}), counts);
        }
      }
      return sum;
    },
    mergeCounts(source, counts, isSameDomain = false) {
      const sourceCounts = bySource.get(source) ?? {};
      bySource.set(source, sourceCounts);
      if (isSameDomain) {
        domainSources.add(source);
      }
      for (const [window, customerCounts] of Object.entries(counts)) {
        mergeMaxCounts((sourceCounts[window] ??= {}), customerCounts);
      }
      const newest = Math.max(0, ...Object.keys(sourceCounts).map(Number));
      dropOldWindows(sourceCounts, newest);
      dropOldSources(newest);
    },
    totalCounts(window) {
      const sum: Record<string, number> = {};
      for (const counts of bySource.values()) {
        addCounts(sum, counts[window] ?? {});
      }
      return sum;
    },
  };
}

function addCounts(sum: Record<string, number>, counts: CustomerCounts): void {
  for (const [customer, count] of Object.entries(counts)) {
    sum[customer] = (sum[customer] ?? 0) + count;
  }
}

/**
 * Merges counts by maximum. Counts only grow: a lower count is from a relay
 * that has restarted and not yet received all reports of its group.
 */
function mergeMaxCounts(
  maxCounts: Record<string, number>,
  counts: CustomerCounts,
): void {
  for (const [customer, count] of Object.entries(counts)) {
    maxCounts[customer] = Math.max(maxCounts[customer] ?? 0, count);
  }
}
