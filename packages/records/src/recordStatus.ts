/** Status of a record for operators, stored under the record key. */
import type {ValidationFault} from '@skylarkfield/base';
import * as z from 'zod';

/** Kind of the stored objects that hold record statuses. */
export const STATUS_KIND = 'status';

/**
 * `accepted`: the record is being propagated to all entries. `in-force`: every
 * live entry has confirmed the record. `refused`: the record is invalid, see
 * the faults; an older accepted version stays in force. `removed`: the removal
 * is being propagated to all entries.
 */
export type RecordState = 'accepted' | 'in-force' | 'refused' | 'removed';

export interface RecordStatus {
  readonly state: RecordState;
  /** Version of the record that the status describes. */
  readonly sourceVersion: number;
  /** Accepted version, in force or being propagated; undefined if none. */
  readonly acceptedVersion?: number;
  /** Reasons for a rejection, one per invalid field. */
  readonly faults: readonly ValidationFault[];
  /** Ids of some of the members that have not confirmed the record yet. */
  readonly waitingFor: readonly string[];
  /** Wall-clock milliseconds at which the status was written. */
  readonly at: number;
}

const statusSchema = z.object({
  state: z.enum(['accepted', 'in-force', 'refused', 'removed']),
  sourceVersion: z.number(),
  acceptedVersion: z.number().optional(),
  faults: z.array(z.object({path: z.string(), expected: z.string()})),
  waitingFor: z.array(z.string()),
  at: z.number(),
});

/**
 * Parses a stored status; returns undefined if the value is not a status.
 *
 * @example
 * const status = parseStatus((await store.get('status', key))?.value);
 */
export function parseStatus(value: unknown): RecordStatus | undefined {
  const status = statusSchema.safeParse(value);
  return status.success ? status.data : undefined;
}

/**
 * Returns whether two statuses are equal apart from their times.
 *
 * @example
 * if (isSameStatus(current, next)) { return false; }
 */
export function isSameStatus(a: RecordStatus, b: RecordStatus): boolean {
  return JSON.stringify({...a, at: 0}) === JSON.stringify({...b, at: 0});
}
