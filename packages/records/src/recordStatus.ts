/** Status of a record for operators, in a stored object named by the key. */
import type {ValidationFault} from '@skylarkfield/base';
import * as z from 'zod';

/** Kind of the stored objects that hold record statuses. */
export const STATUS_KIND = 'status';

/**
 * `accepted`: being propagated to all entries. `in-force`: confirmed by every
 * live entry. `refused`: invalid, see the faults; an older accepted version
 * stays in force. `removed`: the removal is being propagated to all entries.
 */
export type RecordState = 'accepted' | 'in-force' | 'refused' | 'removed';

export interface RecordStatus {
  readonly state: RecordState;
  /** Version of the record that the status describes. */
  readonly sourceVersion: number;
  /** Version of the record in force or being propagated, if any. */
  readonly acceptedVersion?: number;
  /** Reasons for a rejection, by field. */
  readonly faults: readonly ValidationFault[];
  /** Entries that have not confirmed yet; truncated if there are many. */
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
 * Parses a status object; returns undefined if it is not one.
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
