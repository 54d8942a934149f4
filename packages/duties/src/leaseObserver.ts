/**
 * Detects when the lease of another process has certainly expired.
 *
 * Clocks of different hosts are not compared. A candidate measures on its own
 * monotonic clock from its first read of a lease version, which is later than
 * the start of the holder's own measurement.
 */
import type {StoredObject} from '@skylarkfield/providers';
import type {Clock} from '@skylarkfield/base';
import {parseLease, type LeaseTiming} from './lease.js';

export interface LeaseObserver {
  /** Records a read of the lease; call it when the result arrives. */
  recordRead(object: StoredObject | undefined): void;
  /** Whether the lease as last read may be acquired. */
  isFree(): boolean;
}

/**
 * Creates the observer of one lease.
 *
 * @example
 * observer.recordRead(await store.get('lease', 'acceptance'));
 * if (observer.isFree()) { await acquire(); }
 */
export function createLeaseObserver(
  clock: Clock,
  timing: LeaseTiming,
  self: string,
): LeaseObserver {
  let lastRead: StoredObject | undefined;
  let versionSeenAt = 0;
  let hasRead = false;

  return {
    recordRead(object) {
      // Reads may be stale and arrive out of order.
      if ((object?.version ?? Infinity) < (lastRead?.version ?? 0)) {
        return;
      }
      if (!hasRead || object?.version !== lastRead?.version) {
        versionSeenAt = clock.now();
      }
      hasRead = true;
      lastRead = object;
    },
    isFree() {
      if (!hasRead) {
        return false;
      }
      const lease = parseLease(lastRead);
      if (lease === undefined || lease.isReleased || lease.holder === self) {
        return true;
      }
      return clock.now() - versionSeenAt >= lease.durationMs + timing.marginMs;
    },
  };
}
