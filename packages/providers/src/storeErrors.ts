/** Errors of the object API client. */
import {isServingError, ServingError} from '@skylarkfield/base';
import type {ObjectWrite} from './objectTable.js';

/**
 * Returns the error of a call without a response before its deadline.
 *
 * @example
 * throw timeoutError(true); // outcome-unknown
 */
export function timeoutError(isWrite: boolean): ServingError {
  if (isWrite) {
    return new ServingError(
      'outcome-unknown',
      'no response to the write before the deadline',
    );
  }
  return new ServingError(
    'platform-unavailable',
    'no response to the read before the deadline',
  );
}

/**
 * Returns the error of a call that its caller cancelled.
 *
 * @example
 * throw cancelledError(false); // not-run
 */
export function cancelledError(isWrite: boolean): ServingError {
  return new ServingError('cancelled', 'the call was cancelled', {
    run: isWrite ? 'may-have-run' : 'not-run',
  });
}

/**
 * Returns the error of a write that conflicts with a write of another writer.
 *
 * @example
 * throw conflictError(write);
 */
export function conflictError(write: ObjectWrite): ServingError {
  return new ServingError(
    'version-conflict',
    `${write.kind}/${write.name} was changed by another writer`,
  );
}

/**
 * Returns the error of a write whose outcome cannot be determined.
 *
 * @example
 * throw unknownOutcomeError(write, error);
 */
export function unknownOutcomeError(
  write: ObjectWrite,
  cause: unknown,
): ServingError {
  return new ServingError(
    'outcome-unknown',
    `cannot determine whether the write of ${write.kind}/${write.name} took effect`,
    {cause},
  );
}

/**
 * Converts `overloaded`, a rejection by the platform's rate limit, to the
 * `platform-unavailable` that callers expect; returns other errors unchanged.
 *
 * @example
 * throw toCallerError(error);
 */
export function toCallerError(error: unknown): unknown {
  if (!isServingError(error, 'overloaded')) {
    return error;
  }
  return new ServingError('platform-unavailable', error.message, {
    retryAfterMs: error.retryAfterMs,
    cause: error,
  });
}

/**
 * Throws an error as converted by `toCallerError`.
 *
 * @example
 * await call.catch(throwCallerError);
 */
export function throwCallerError(error: unknown): never {
  throw toCallerError(error);
}
