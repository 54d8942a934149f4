/** Validation of member updates before they are stored and gossiped. */
import {ServingError} from '@skylarkfield/base';
import type {MemberUpdate} from '@skylarkfield/protocol';
import {isBoundedText, isName, isUrl} from './memberObject.js';

const URL_FIELDS = ['callerUrl', 'innerUrl'] as const;
const NAME_FIELDS = ['id', 'failureDomain', 'region'] as const;
const NUMBER_FIELDS = ['incarnation', 'sequence', 'load'] as const;
const STATES: readonly unknown[] = ['live', 'suspect', 'leaving', 'gone'];
/** Maximum number of services in an update. */
const MAX_SERVICES = 64;

/**
 * Throws `protocol-violation` for a malformed member update. Without the check
 * a faulty release would spread malformed updates to the member table of every
 * entry.
 *
 * @example
 * validateUpdate(response.news);
 */
export function validateUpdate(update: MemberUpdate): void {
  const fields: Partial<Record<keyof MemberUpdate, unknown>> = update ?? {};
  const isValid =
    URL_FIELDS.every(field => isUrl(fields[field])) &&
    NAME_FIELDS.every(field => isName(fields[field])) &&
    NUMBER_FIELDS.every(field => Number.isFinite(fields[field])) &&
    STATES.includes(fields.state) &&
    (fields.cores === undefined || isPositive(fields.cores)) &&
    (fields.unreachableServices === undefined ||
      isBoundedList(fields.unreachableServices));
  if (!isValid) {
    throw new ServingError('protocol-violation', 'malformed member update');
  }
}

function isPositive(value: unknown): boolean {
  return typeof value === 'number' && Number.isFinite(value) && value > 0;
}

function isBoundedList(value: unknown): boolean {
  return (
    Array.isArray(value) &&
    value.length <= MAX_SERVICES &&
    value.every(isBoundedText)
  );
}
