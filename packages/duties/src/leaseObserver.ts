/**
 * Tells when another's lease has certainly run out.
 *
 * Clocks of different hosts are not compared. A candidate counts on its own
 * monotonic clock from when it first saw a version of the lease, which is later
 * than the moment from which the holder counts.
 */
import type {StoredObject} from '@skylarkfield/providers';
import type {Clock} from '@skylarkfield/base';
import {readLease, type LeaseTiming} from './lease.js';

export interface LeaseObserver {
  /** Notes a reading; call it when the reading has arrived. */
  note(object: StoredObject | undefined): void;
  /** Whether the lease as last read may be taken over. */
  isFree(): boolean;
}

/**
 * Makes an observer for one lease.
 *
 * @example
 * observer.note(await store.get('lease', 'acceptance'));
 * if (observer.isFree()) { await takeOver(); }
 */
export function createLeaseObserver(
  clock: Clock,
  timing: LeaseTiming,
  self: string,
): LeaseObserver {
  let seen: StoredObject | undefined;
  let seenAt = 0;
  let hasLooked = false;

  return {
    note(object) {
      // Readings may be stale and arrive out of order.
      if ((object?.version ?? Infinity) < (seen?.version ?? 0)) {
        return;
      }
      if (!hasLooked || object?.version !== seen?.version) {
        seenAt = clock.now();
      }
      hasLooked = true;
      seen = object;
    },
    isFree() {
      if (!hasLooked) {
        return false;
      }
      const lease = readLease(seen);
      if (lease === undefined || lease.isReleased || lease.holder === self) {
        return true;
      }
      return clock.now() - seenAt >= lease.durationMs + timing.marginMs;
    },
  };
}
