/** Lease of one duty, stored as an object in the object store. */
import type {StoredObject, WriteCondition} from '@skylarkfield/providers';

/** Object kind of leases; the object name is the name of the duty. */
export const LEASE_KIND = 'lease';

/** Value of a lease object. */
export interface Lease {
  /** Id of the holding process with its incarnation. */
  readonly holder: string;
  /** Fencing token; increases with each change of holder, never decreases. */
  readonly fencing: number;
  /** Time for which the lease is valid after each renewal, in milliseconds. */
  readonly durationMs: number;
  /** Increases with each renewal, so that the object's version changes. */
  readonly sequence: number;
  /** Whether the holder released the lease; it may then be acquired at once. */
  readonly isReleased: boolean;
  /**
   * Era of the store in which the lease was written. Earlier releases do not
   * write it.
   */
  readonly era?: number;
  /**
   * Earliest era of the store that a holder has known; tells a process that
   * starts later that the store was restored.
   */
  readonly firstEra?: number;
}

/** Durations, intervals and safety margin of leases. */
export interface LeaseTiming {
  readonly durationMs: number;
  readonly renewIntervalMs: number;
  /** Interval at which a candidate reads the lease, in milliseconds. */
  readonly pollIntervalMs: number;
  /**
   * Safety margin, in milliseconds, by which the holder stops before the expiry
   * and a successor waits after the expiry. Monotonic clocks of two hosts drift
   * apart, and time passes between a holder's validity check and its side
   * effect.
   */
  readonly marginMs: number;
}

export const DEFAULT_LEASE_TIMING: LeaseTiming = {
  durationMs: 8000,
  renewIntervalMs: 2000,
  pollIntervalMs: 1500,
  marginMs: 1000,
};

/**
 * Parses a lease object; returns undefined if it is not a valid lease.
 *
 * @example
 * const lease = parseLease(await store.get('lease', 'acceptance'));
 */
export function parseLease(
  object: StoredObject | undefined,
): Lease | undefined {
  const value = object?.value as Partial<Lease> | undefined;
  if (
    typeof value?.holder !== 'string' ||
    typeof value.fencing !== 'number' ||
    typeof value.durationMs !== 'number' ||
    typeof value.sequence !== 'number'
  ) {
    return undefined;
  }
  return {
    holder: value.holder,
    fencing: value.fencing,
    durationMs: value.durationMs,
    sequence: value.sequence,
    isReleased: value.isReleased === true,
    ...(typeof value.era === 'number' && {era: value.era}),
    ...(typeof value.firstEra === 'number' && {firstEra: value.firstEra}),
  };
}

/**
 * Returns whether a lease was written before the given era of the store. It may
 * then be older than a lease that the store has lost.
 *
 * @example
 * if (isOfFormerEra(lease, returns.era())) { return; }
 */
export function isOfFormerEra(lease: Lease, era: number): boolean {
  return lease.era !== undefined && lease.era < era;
}

/**
 * Returns the write condition that the lease object is unchanged since the
 * given read.
 *
 * @example
 * await store.put(LEASE_KIND, duty, lease, leaseCondition(object));
 */
export function leaseCondition(
  object: StoredObject | undefined,
): WriteCondition {
  if (object === undefined) {
    return {type: 'absent'};
  }
  return {type: 'version', version: object.version};
}
