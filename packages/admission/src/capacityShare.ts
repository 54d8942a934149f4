/**
 * This entry's part of a service's concurrency, found without talking to the
 * other entries.
 *
 * Each entry may always use an even part. Customers keep to few entries, so
 * load is uneven and even parts alone would refuse at one entry what stands
 * idle at another. Where the endpoints report how busy they are, an entry that
 * needs more takes its part of what is idle with each report, and gives it back
 * when the reports show that the others use theirs.
 */

export interface CapacityShare {
  /** Requests at once that this entry may have, at least 1. */
  current(): number;
  /**
   * Places above the share that requests more important than the default may
   * use. Importance has to hold over all entries: where a customer's important
   * requests gather at one entry, the others' less important ones make room.
   */
  overdraft(): number;
  /** Part of the limit that the other requests may use: falls while the endpoints have more than they can carry. */
  ordinaryFraction(): number;
  setConcurrency(concurrency: number): void;
  setEntryCount(count: number): void;
  /** A report of the endpoints: slots, and how many of them are taken, if known. */
  report(slots: number, busy: number | undefined, isWanted: boolean): void;
}

/** Part of the borrowed places given back with each report that shows no idle slot. */
const RETURN_FRACTION = 0.5;

/** The overdraft relative to the even part. */
const OVERDRAFT_FRACTION = 1;

/** Reports lag, so a little more than the endpoints can carry proves nothing. */
const TOLERATED_EXCESS = 0.1;

/** How the ordinary part falls and rises with each report, and its least value. */
const ORDINARY_DECREASE = 0.85;
const ORDINARY_INCREASE = 0.04;
const LEAST_ORDINARY = 0.25;

/**
 * Makes the share of one service at this entry.
 *
 * @example
 * const share = createCapacityShare(40);
 * share.setEntryCount(7);
 */
export function createCapacityShare(initialConcurrency: number): CapacityShare {
  let concurrency = initialConcurrency;
  let entryCount = 1;
  let slots: number | undefined;
  let borrowed = 0;
  let ordinary = 1;
  let isReported = false;

  function adjustOrdinary(idle: number) {
    ordinary =
      idle < -total() * TOLERATED_EXCESS
        ? Math.max(LEAST_ORDINARY, ordinary * ORDINARY_DECREASE)
        : Math.min(1, ordinary + ORDINARY_INCREASE);
  }

  function total(): number {
    return slots === undefined ? concurrency : Math.min(concurrency, slots);
  }
  function evenPart(): number {
    return total() / entryCount;
  }
  return {
    current() {
      const most = Math.min(total(), evenPart() + borrowed);
      return Math.max(1, Math.floor(most));
    },
    // Without reports of load nobody would see that others have to make room.
    overdraft: () =>
      isReported && entryCount > 1
        ? Math.ceil(evenPart() * OVERDRAFT_FRACTION)
        : 0,
    ordinaryFraction: () => ordinary,
    setConcurrency(next) {
      concurrency = Math.max(1, next);
    },
    setEntryCount(count) {
      entryCount = Math.max(1, count);
    },
    report(reportedSlots, busy, isWanted) {
      slots = reportedSlots > 0 ? reportedSlots : undefined;
      isReported = busy !== undefined;
      if (busy === undefined) {
        borrowed = 0;
        ordinary = 1;
        return;
      }
      const idle = total() - busy;
      adjustOrdinary(idle);
      if (idle <= 0 || !isWanted) {
        borrowed *= 1 - RETURN_FRACTION;
        return;
      }
      // Every entry may take this much at once without using more than is idle.
      borrowed = Math.min(borrowed + idle / entryCount, total() - evenPart());
    },
  };
}
