/** Conditions of writes that depend on what was read. */
import type {StoredObject, WriteCondition} from '@skylarkfield/providers';

/**
 * The condition that nobody has written since the object was read.
 *
 * @example
 * await store.put('status', key, status, conditionOn(present));
 */
export function conditionOn(present: StoredObject | undefined): WriteCondition {
  if (present === undefined) {
    return {type: 'absent'};
  }
  return {type: 'version', version: present.version};
}
