/**
 * Detects when the lease of another process has certainly expired.
 *
 * Clocks of different hosts are not compared. A candidate measures the lease
 * duration on its own monotonic clock from its first read of a lease version.
 * This read is later than the write from which the holder measures.
 *
 * A restored store may lack the lease that was valid when it returned. What it
 * has from earlier eras therefore proves nothing until that lease has expired,
 * too: a lease duration after this process learned of the return.
 */
import type {Clock} from '@skylarkfield/base';
import type {Freshness, StoredObject} from '@skylarkfield/providers';
import {
  isOfFormerEra,
  parseLease,
  type Lease,
  type LeaseTiming,
} from './lease.js';
import type {StoreReturns} from './storeReturns.js';

export interface LeaseObserver {
  /**
   * Records a read of the lease and returns whether the lease may be acquired.
   * Must be called when the result arrives; reads must not overlap.
   */
  recordRead(object: StoredObject | undefined, freshness: Freshness): boolean;
}

/**
 * Creates the observer of one lease.
 *
 * @example
 * const object = await store.get('lease', 'acceptance');
 * if (observer.recordRead(object, 'latest')) { await acquire(); }
 */
export function createLeaseObserver(options: {
  readonly clock: Clock;
  readonly timing: LeaseTiming;
  readonly self: string;
  readonly returns: StoreReturns;
}): LeaseObserver {
  const {clock, timing, self, returns} = options;
  let lastObject: StoredObject | undefined;
  /**
   * Monotonic milliseconds at which the latest lease version was first read.
   */
  let versionFirstReadAt = 0;
  let hasRead = false;
  /**
   * Highest version that a `latest` read has shown not to exist any more. A
   * `recent` read may return it again: its answer may be of the history before
   * a return, although its version names the new era.
   */
  let refutedVersion = 0;

  function recordLatest(object: StoredObject | undefined): void {
    const lastVersion = lastObject?.version ?? 0;
    if (lastVersion > (object?.version ?? 0)) {
      refutedVersion = Math.max(refutedVersion, lastVersion);
    }
    setLastObject(object);
  }

  function recordRecent(object: StoredObject | undefined): void {
    const knownVersion = Math.max(lastObject?.version ?? 0, refutedVersion);
    if (!hasRead || (object?.version ?? 0) > knownVersion) {
      setLastObject(object);
    }
  }

  function setLastObject(object: StoredObject | undefined): void {
    if (!hasRead || object?.version !== lastObject?.version) {
      versionFirstReadAt = clock.now();
    }
    hasRead = true;
    lastObject = object;
  }

  function hasPassed(startedAt: number, durationMs: number): boolean {
    return clock.now() - startedAt >= durationMs + timing.marginMs;
  }

  /**
   * Whether a lease of the store's current history is free. An object that is no
   * lease may have replaced one, whose holder stops only when it expires.
   */
  function isVacant(lease: Lease | undefined): boolean {
    if (lease === undefined) {
      return (
        lastObject === undefined ||
        hasPassed(versionFirstReadAt, timing.durationMs)
      );
    }
    return (
      lease.isReleased ||
      lease.holder === self ||
      hasPassed(versionFirstReadAt, lease.durationMs)
    );
  }

  function isFree(): boolean {
    const lease = parseLease(lastObject);
    const returnLearnedAt = returns.learnedAt();
    if (returnLearnedAt === undefined || lease?.era === returns.era()) {
      return isVacant(lease);
    }
    const durationMs = Math.max(timing.durationMs, lease?.durationMs ?? 0);
    if (!hasPassed(returnLearnedAt, durationMs)) {
      return false;
    }
    // A lease that names no era may have been written since the return.
    return (
      (lease !== undefined && isOfFormerEra(lease, returns.era())) ||
      isVacant(lease)
    );
  }

  return {
    recordRead(object, freshness) {
      const lease = parseLease(object);
      if (lease?.firstEra !== undefined) {
        returns.recordFormerEra(lease.firstEra);
      }
      if (freshness === 'latest') {
        recordLatest(object);
        return isFree();
      }
      recordRecent(object);
      return object === undefined || isFree();
    },
  };
}
