/** The lease of one duty as an object of the object API. */
import type {StoredObject, WriteCondition} from '@skylarkfield/providers';

/** The kind of the objects that hold leases; a lease is named like its duty. */
export const LEASE_KIND = 'lease';

/** What a lease object holds. */
export interface Lease {
  /** Process that holds it, with its incarnation. */
  readonly holder: string;
  /** Rises with every change of holder and never goes down. */
  readonly fencing: number;
  /** How long the holder may act after a renewal, in milliseconds. */
  readonly durationMs: number;
  /** Rises with every renewal, so that each one changes the object's version. */
  readonly sequence: number;
  /** The holder has given it up: anyone may take it at once. */
  readonly isReleased: boolean;
}

/** How long leases last and with which margins both sides count. */
export interface LeaseTiming {
  readonly durationMs: number;
  readonly renewEveryMs: number;
  /** How often a candidate looks at the lease. */
  readonly pollMs: number;
  /**
   * The holder stops this much before the end and a successor waits this much
   * longer: monotonic clocks of two hosts drift apart, and a holder needs time
   * from its last check to its effect.
   */
  readonly marginMs: number;
}

export const defaultLeaseTiming: LeaseTiming = {
  durationMs: 8000,
  renewEveryMs: 2000,
  pollMs: 1500,
  marginMs: 1000,
};

/**
 * Reads a lease object; undefined for one that is no lease.
 *
 * @example
 * const lease = readLease(await store.get('lease', 'acceptance'));
 */
export function readLease(object: StoredObject | undefined): Lease | undefined {
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
  };
}

/**
 * The condition that the lease object is still as it was read.
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
