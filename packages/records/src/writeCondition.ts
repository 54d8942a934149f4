/** Conditions of writes that depend on a previous read. */
import type {StoredObject, WriteCondition} from '@skylarkfield/providers';

/**
 * Returns the condition that an object is unchanged since `lastRead`.
 *
 * @example
 * await store.put('status', key, status, unchangedCondition(current));
 */
export function unchangedCondition(
  lastRead: StoredObject | undefined,
): WriteCondition {
  if (lastRead === undefined) {
    return {type: 'absent'};
  }
  return {type: 'version', version: lastRead.version};
}
