/** Validation of external values against a schema. */
import type * as z from 'zod';
import {ServingError, type ErrorKind, type ValidationFault} from './errors.js';

/**
 * Validates a value against a schema and returns it typed. Throws a
 * `ServingError` of the given kind that lists every fault with its path.
 *
 * @example
 * const settings = validateShape(entrySettings, JSON.parse(text), 'bad-settings');
 */
export function validateShape<T extends z.ZodType>(
  schema: T,
  value: unknown,
  kind: ErrorKind,
  valueName = 'value',
): z.output<T> {
  const result = schema.safeParse(value);
  if (result.success) {
    return result.data;
  }
  const faults = result.error.issues.map(toFault);
  const lines = faults.map(
    fault => `${fault.path || valueName}: ${fault.expected}`,
  );
  throw new ServingError(kind, `invalid ${valueName}: ${lines.join('; ')}`, {
    faults,
  });
}

/**
 * Parses JSON text; a syntax error becomes a `ServingError` of the given kind.
 *
 * @example
 * const body = parseJson(text, 'bad-request', 'body');
 */
export function parseJson(
  text: string,
  kind: ErrorKind,
  valueName = 'value',
): unknown {
  try {
    return JSON.parse(text);
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new ServingError(kind, `${valueName} is not JSON: ${reason}`, {
      faults: [{path: '', expected: 'JSON text'}],
      cause: error,
    });
  }
}

function toFault(issue: z.core.$ZodIssue): ValidationFault {
  const path = issue.path.map(String).join('.');
  return {path, expected: issue.message};
}
