/**
 * Detects when the lease of another process has certainly expired.
 *
 * Clocks of different hosts are not compared. A candidate measures the lease
 * duration on its own monotonic clock from its first read of a lease version.
 * This read is later than the write from which the holder measures.
 */
import type {StoredObject} from '@skylarkfield/providers';
import type {Clock} from '@skylarkfield/base';
import {parseLease, type LeaseTiming} from './lease.js';

export interface LeaseObserver {
  /** Records a read of the lease; must be called when the result arrives. */
  recordRead(object: StoredObject | undefined): void;
  /** Returns whether the lease, as last read, may be acquired. */
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
  let lastReadObject: StoredObject | undefined;
  /**
   * Monotonic milliseconds at which the latest lease version was first read.
   */
  let versionFirstReadAt = 0;
  let hasRead = false;

  return {
    recordRead(object) {
      // Reads may be stale and arrive out of order.
      if ((object?.version ?? Infinity) < (lastReadObject?.version ?? 0)) {
        return;
      }
      if (!hasRead || object?.version !== lastReadObject?.version) {
        versionFirstReadAt = clock.now();
      }
      hasRead = true;
      lastReadObject = object;
    },
    isFree() {
      if (!hasRead) {
        return false;
      }
      const lease = parseLease(lastReadObject);
      if (lease === undefined || lease.isReleased || lease.holder === self) {
        return true;
      }
      return (
        clock.now() - versionFirstReadAt >= lease.durationMs + timing.marginMs
      );
    },
  };
}
