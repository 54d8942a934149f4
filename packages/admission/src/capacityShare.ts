/**
 * This entry's share of a service's concurrency, computed without coordination
 * between entries.
 *
 * Each entry may always use an equal share. Customers connect to few entries,
 * so load is uneven, and with equal shares alone one entry would reject
 * requests while capacity is idle at another. If the endpoints report their
 * load, an entry at its limit borrows an equal part of the idle slots with each
 * report. It returns half of its borrowed slots with each report that shows no
 * idle slots or arrives while the entry is below its limit.
 */

export interface CapacityShare {
  /** Returns the concurrency that this entry may use, at least 1. */
  maxConcurrency(): number;
  /**
   * Returns the number of extra slots for requests more urgent than the default
   * urgency. Urgency has to take effect across entries: if a customer's urgent
   * requests arrive at one entry, the other entries throttle less urgent
   * requests.
   */
  overdraft(): number;
  /**
   * Returns the fraction of the limit for requests of default or lower urgency;
   * it decreases while the service is overloaded.
   */
  ordinaryFraction(): number;
  setConcurrency(concurrency: number): void;
  setEntryCount(count: number): void;
  /**
   * Applies a report of the total slots and the outstanding requests of the
   * service; `outstanding` is undefined if endpoints do not report it.
   */
  recordReport(
    slots: number,
    outstanding: number | undefined,
    isLimitReached: boolean,
  ): void;
}

/**
 * Fraction of the borrowed slots that is returned when a report lets the entry
 * borrow no further slots.
 */
const RETURN_FRACTION = 0.5;

/** Overdraft relative to the equal share. */
const OVERDRAFT_FRACTION = 1;

/** Tolerated overload relative to the total concurrency, as reports lag. */
const TOLERATED_EXCESS_FRACTION = 0.1;

/**
 * Change of the ordinary fraction with each report, and lower bound of the
 * ordinary fraction.
 */
const ORDINARY_DECREASE_FACTOR = 0.85;
const ORDINARY_INCREASE_STEP = 0.04;
const MIN_ORDINARY_FRACTION = 0.25;

/**
 * Creates the capacity share of one service at this entry.
 *
 * @example
 * const share = createCapacityShare(40);
 * share.setEntryCount(7);
 */
export function createCapacityShare(initialConcurrency: number): CapacityShare {
  let concurrency = initialConcurrency;
  let entryCount = 1;
  let totalReportedSlots: number | undefined;
  let borrowedSlots = 0;
  let ordinaryFraction = 1;
  let isLoadReported = false;

  function adjustOrdinaryFraction(idleSlots: number) {
    ordinaryFraction =
      idleSlots < -totalConcurrency() * TOLERATED_EXCESS_FRACTION
        ? Math.max(
            MIN_ORDINARY_FRACTION,
            ordinaryFraction * ORDINARY_DECREASE_FACTOR,
          )
        : Math.min(1, ordinaryFraction + ORDINARY_INCREASE_STEP);
  }

  function totalConcurrency(): number {
    return totalReportedSlots === undefined
      ? concurrency
      : Math.min(concurrency, totalReportedSlots);
  }
  function equalShare(): number {
    return totalConcurrency() / entryCount;
  }
  return {
    maxConcurrency() {
      const maxConcurrency = Math.min(
        totalConcurrency(),
        equalShare() + borrowedSlots,
      );
      return Math.max(1, Math.floor(maxConcurrency));
    },
    // No overdraft without load reports, as other entries would not lower their
    // ordinary fractions.
    overdraft: () =>
      isLoadReported && entryCount > 1
        ? Math.ceil(equalShare() * OVERDRAFT_FRACTION)
        : 0,
    ordinaryFraction: () => ordinaryFraction,
    setConcurrency(newConcurrency) {
      concurrency = Math.max(1, newConcurrency);
    },
    setEntryCount(count) {
      entryCount = Math.max(1, count);
    },
    recordReport(reportedSlots, outstanding, isLimitReached) {
      totalReportedSlots = reportedSlots > 0 ? reportedSlots : undefined;
      isLoadReported = outstanding !== undefined;
      if (outstanding === undefined) {
        borrowedSlots = 0;
        ordinaryFraction = 1;
        return;
      }
      const idleSlots = totalConcurrency() - outstanding;
      adjustOrdinaryFraction(idleSlots);
      if (idleSlots <= 0 || !isLimitReached) {
        borrowedSlots *= 1 - RETURN_FRACTION;
        return;
      }
      // If every entry borrows its part at the same time, the sum does not
      // exceed the idle slots.
      borrowedSlots = Math.min(
        borrowedSlots + idleSlots / entryCount,
        totalConcurrency() - equalShare(),
      );
    },
  };
}
