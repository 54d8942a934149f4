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

/** Maximum duration of a lease, in milliseconds. */
const MAX_DURATION_MS = 60_000;

/**
 * Upper bound of fencing tokens and eras: far above what stores assign, and low
 * enough that later tokens remain exact.
 */
const MAX_NUMBER = 2 ** 52;

/**
 * Parses a lease object; returns undefined if it is not a valid lease. Another
 * writer may have stored any value.
 *
 * @example
 * const lease = parseLease(await store.get('lease', 'acceptance'));
 */
export function parseLease(
  object: StoredObject | undefined,
): Lease | undefined {
  const value = object?.value as Partial<Lease> | null | undefined;
  const {holder, fencing, durationMs, sequence, era, firstEra} = value ?? {};
  if (
    typeof holder !== 'string' ||
    !isCount(fencing) ||
    !isDuration(durationMs) ||
    !isCount(sequence) ||
    !(era === undefined || isCount(era)) ||
    !(firstEra === undefined || isCount(firstEra))
  ) {
    return undefined;
  }
  return {
    holder,
    fencing,
    durationMs,
    sequence,
    isReleased: value?.isReleased === true,
    ...(era !== undefined && {era}),
    ...(firstEra !== undefined && {firstEra}),
  };
}

function isCount(value: unknown): value is number {
  return (
    Number.isSafeInteger(value) &&
    Number(value) >= 0 &&
    Number(value) <= MAX_NUMBER
  );
}

function isDuration(value: unknown): value is number {
  return typeof value === 'number' && value > 0 && value <= MAX_DURATION_MS;
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
