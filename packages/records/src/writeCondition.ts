/** Conditions of writes that depend on a previous read. */
import type {StoredObject, WriteCondition} from '@skylarkfield/providers';

/**
 * Returns the condition that the object is unchanged since it was read.
 *
 * @example
 * await store.put('status', key, status, unchangedCondition(current));
 */
export function unchangedCondition(
  current: StoredObject | undefined,
): WriteCondition {
  if (current === undefined) {
    return {type: 'absent'};
  }
  return {type: 'version', version: current.version};
}
