/**
 * Counts started requests by customer and wall-clock window.
 *
 * Every entry counts its own requests and sends its counts of the last windows
 * to its peers. So the entry that reports a window has the counts of all
 * entries, and so does an entry that replaces the reporting one.
 */

/** Number of started requests by customer. */
export type CustomerCounts = Readonly<Record<string, number>>;

/** Counts of one process by window number. */
export type WindowCounts = Readonly<Record<string, CustomerCounts>>;

/** Counts of all processes, as far as this process received them. */
export interface UsageWindows {
  /** Counts a request that started at this wall-clock time in milliseconds. */
  recordRequest(customer: string, wallMs: number): void;
  /** Returns this process's counts of the retained windows. */
  ownCounts(): WindowCounts;
  /** Returns the counts of the retained windows in this failure domain. */
  domainCounts(): WindowCounts;
  /**
   * Merges the counts of another process or a group of processes. `source`
   * identifies the process with its incarnation, or the group. If
   * `isSameDomain` is set, `domainCounts` includes these counts.
   */
  mergeCounts(
    source: string,
    counts: WindowCounts,
    isSameDomain?: boolean,
  ): void;
  /** Returns the counts of a window over all processes. */
  totalCounts(window: number): CustomerCounts;
  /** Returns the number of the window at a wall-clock time in milliseconds. */
  windowAt(wallMs: number): number;
}

/**
 * Minimum number of windows retained, the newest included: a platform outage
 * may delay a report by that many windows.
 */
const MIN_RETAINED_WINDOWS = 8;
/** Windows retained in addition to the reportable ones, for clock skew. */
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
  /** Time after a window's end within which to report it, in milliseconds. */
  readonly lateMs?: number;
}): UsageWindows {
  const {windowMs, self, lateMs = 0} = options;
  const retainedWindows = Math.max(
    MIN_RETAINED_WINDOWS,
    Math.ceil(lateMs / windowMs) + SPARE_WINDOWS,
  );
  const countsBySource = new Map<
    string,
    Record<string, Record<string, number>>
  >();
  const domainSources = new Set([self]);
  countsBySource.set(self, {});

  function windowAt(wallMs: number): number {
    return Math.floor(wallMs / windowMs);
  }

  function dropOldWindows(
    counts: Record<string, unknown>,
    newestWindow: number,
  ): void {
    for (const window of Object.keys(counts)) {
      if (Number(window) <= newestWindow - retainedWindows) {
        delete counts[window];
      }
    }
  }

  function createExpiryCheck(
    newestWindow: number,
  ): (window: string) => boolean {
    return window => Number(window) <= newestWindow - retainedWindows;
  }

  function dropOldSources(newestWindow: number): void {
    for (const [source, counts] of countsBySource) {
      if (
        source !== self &&
        Object.keys(counts).every(createExpiryCheck(newestWindow))
      ) {
        countsBySource.delete(source);
        domainSources.delete(source);
      }
    }
  }

  return {
    windowAt,
    recordRequest(customer, wallMs) {
      const window = windowAt(wallMs);
      const counts = countsBySource.get(self)!;
      const customerCounts = (counts[window] ??= {});
      customerCounts[customer] = (customerCounts[customer] ?? 0) + 1;
      dropOldWindows(counts, window);
    },
    ownCounts: () => countsBySource.get(self)!,
    domainCounts() {
      const totals: Record<string, Record<string, number>> = {};
      for (const source of domainSources) {
        for (const [window, counts] of Object.entries(
          countsBySource.get(source)!,
        )) {
          addCounts((totals[window] ??= {}), counts);
        }
      }
      return totals;
    },
    mergeCounts(source, counts, isSameDomain = false) {
      const sourceCounts = countsBySource.get(source) ?? {};
      countsBySource.set(source, sourceCounts);
      if (isSameDomain) {
        domainSources.add(source);
      }
      for (const [window, customerCounts] of Object.entries(counts)) {
        mergeMaxCounts((sourceCounts[window] ??= {}), customerCounts);
      }
      const newestWindow = Math.max(
        0,
        ...Object.keys(sourceCounts).map(Number),
      );
      dropOldWindows(sourceCounts, newestWindow);
      dropOldSources(newestWindow);
    },
    totalCounts(window) {
      const totals: Record<string, number> = {};
      for (const counts of countsBySource.values()) {
        addCounts(totals, counts[window] ?? {});
      }
      return totals;
    },
  };
}

function addCounts(
  totals: Record<string, number>,
  counts: CustomerCounts,
): void {
  for (const [customer, count] of Object.entries(counts)) {
    totals[customer] = (totals[customer] ?? 0) + count;
  }
}

/**
 * Merges counts by maximum. Counts only grow, so a lower count comes from a
 * relay that has restarted and not yet received all reports of its group.
 */
function mergeMaxCounts(
  maxCounts: Record<string, number>,
  counts: CustomerCounts,
): void {
  for (const [customer, count] of Object.entries(counts)) {
    maxCounts[customer] = Math.max(maxCounts[customer] ?? 0, count);
  }
}
