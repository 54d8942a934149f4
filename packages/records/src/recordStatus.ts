/** What operators read about a record: the object kind `status`, named like the record. */
import type {Fault} from '@skylarkfield/base';
import * as z from 'zod';

/** The kind of the objects that report on records. */
export const STATUS_KIND = 'status';

/**
 * `accepted`: on its way to all entries. `in-force`: every live entry has
 * confirmed it. `refused`: see the faults; an older accepted version stays in
 * force. `removed`: deleted, and on its way to all entries.
 */
export type RecordState = 'accepted' | 'in-force' | 'refused' | 'removed';

export interface RecordStatus {
  readonly state: RecordState;
  /** Version of the record that the status is about. */
  readonly sourceVersion: number;
  /** Version of the record that is in force or on its way; absent when none is. */
  readonly acceptedVersion?: number;
  /** Why it was refused, field by field. */
  readonly faults: readonly Fault[];
  /** Entries that have not confirmed yet, some of them when there are many. */
  readonly waitingFor: readonly string[];
  /** Wall-clock milliseconds of this status. */
  readonly at: number;
}

const statusShape = z.object({
  state: z.enum(['accepted', 'in-force', 'refused', 'removed']),
  sourceVersion: z.number(),
  acceptedVersion: z.number().optional(),
  faults: z.array(z.object({path: z.string(), expected: z.string()})),
  waitingFor: z.array(z.string()),
  at: z.number(),
});

/**
 * Reads a status object; undefined when it is none.
 *
 * @example
 * const status = readStatus((await store.get('status', 'service.booking'))?.value);
 */
export function readStatus(value: unknown): RecordStatus | undefined {
  const status = statusShape.safeParse(value);
  return status.success ? status.data : undefined;
}

/**
 * Whether two statuses tell an operator the same, times aside.
 *
 * @example
 * if (isSameStatus(present, next)) { return false; }
 */
export function isSameStatus(a: RecordStatus, b: RecordStatus): boolean {
  return JSON.stringify({...a, at: 0}) === JSON.stringify({...b, at: 0});
}
