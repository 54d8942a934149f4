/** The stored lease of one duty, as this process last read or wrote it. */
import {ServingError, type Clock} from '@skylarkfield/base';
import {
  eraOf,
  revisionInEra,
  type Freshness,
  type ObjectStore,
  type StoredObject,
} from '@skylarkfield/providers';
import type {DutyName} from './contracts.js';
import {
  isOfFormerEra,
  LEASE_KIND,
  leaseCondition,
  parseLease,
  type Lease,
  type LeaseTiming,
} from './lease.js';
import {createLeaseObserver} from './leaseObserver.js';
import type {StoreReturns} from './storeReturns.js';

/**
 * Upper bound of the store's changes that one return loses. Each of them may
 * have given out a fencing token.
 */
export const MAX_LOST_CHANGES = 65_536;

export interface LeaseRecord {
  /** Lease as last read or written; undefined if there is none. */
  lease(): Lease | undefined;
  /** Reads the lease; resolves to whether it may be acquired. */
  read(freshness: Freshness): Promise<boolean>;
  /**
   * Writes the lease if the stored object is unchanged since the last read.
   * Throws `version-conflict` also if the store was restored in between.
   */
  write(
    leaseFields: Pick<Lease, 'fencing' | 'sequence' | 'isReleased'>,
  ): Promise<void>;
  /**
   * Resolves to a fencing token above all that were given out before. Throws
   * `version-conflict` if the store was restored since the last read.
   */
  nextFencing(): Promise<number>;
  /** Whether the last read found this process's lease with the token. */
  isHeldWith(fencing: number): boolean;
  /**
   * Whether a return of the store has taken back this process's lease with the
   * token, and no process has acquired the lease since.
   */
  isTakenBack(fencing: number): boolean;
}

/**
 * Creates the record of one duty's lease.
 *
 * @example
 * const record = createLeaseRecord({duty, clock, store, self, timing, returns});
 * if (await record.read('latest')) { await acquire(); }
 */
export function createLeaseRecord(options: {
  readonly duty: DutyName;
  readonly clock: Clock;
  readonly store: ObjectStore;
  readonly self: string;
  readonly timing: LeaseTiming;
  readonly returns: StoreReturns;
}): LeaseRecord {
  const {duty, store, self, timing, returns} = options;
  const observer = createLeaseObserver(options);
  let leaseObject: StoredObject | undefined;
  /** Era of the store in the last read or write. */
  let era = 0;
  /** Era in which this process last wrote the lease. */
  let writtenEra: number | undefined;

  function throwIfNotInEra(position: number): void {
    if (eraOf(position) !== era) {
      throw new ServingError(
        'version-conflict',
        `the store was restored since the lease of ${duty} was read`,
      );
    }
  }

  /**
   * Returns an upper bound of all earlier fencing tokens; needed if the lease
   * object is missing. The object may have been removed or lost, and endpoints
   * would reject the new holder's commands as stale if tokens restarted at 1.
   * In one era, the store's revision rises at least as fast as the tokens.
   */
  async function readMaxPastFencing(): Promise<number> {
    const {version} = await store.list(LEASE_KIND);
    throwIfNotInEra(version);
    return era * MAX_LOST_CHANGES + revisionInEra(version);
  }

  return {
    lease: () => parseLease(leaseObject),
    async read(freshness) {
      leaseObject = await store.get(LEASE_KIND, duty, undefined, freshness);
      era =
        leaseObject === undefined ? returns.era() : eraOf(leaseObject.version);
      return observer.recordRead(leaseObject, freshness);
    },
    async write(leaseFields) {
      const lease: Lease = {
        ...leaseFields,
        holder: self,
        durationMs: timing.durationMs,
        era,
        firstEra: Math.min(era, returns.firstEra()),
      };
      const writtenObject = await store.put(
        LEASE_KIND,
        duty,
        lease,
        leaseCondition(leaseObject),
      );
      throwIfNotInEra(writtenObject.version);
      leaseObject = writtenObject;
      writtenEra = era;
    },
    async nextFencing() {
      const lease = parseLease(leaseObject);
      if (lease === undefined) {
        return (await readMaxPastFencing()) + 1;
      }
      const leaseEra = lease.era ?? returns.firstEra();
      const returnCount = Math.max(0, era - leaseEra);
      return lease.fencing + returnCount * MAX_LOST_CHANGES + 1;
    },
    isHeldWith(fencing) {
      const lease = parseLease(leaseObject);
      return (
        lease?.holder === self &&
        lease.fencing === fencing &&
        !isOfFormerEra(lease, era)
      );
    },
    isTakenBack(fencing) {
      const lease = parseLease(leaseObject);
      return lease === undefined
        ? writtenEra !== undefined && writtenEra < era
        : isOfFormerEra(lease, era) && lease.fencing <= fencing;
    },
  };
}
