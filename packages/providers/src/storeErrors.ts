/** The errors of the object API's client. */
import {isServingError, ServingError} from '@skylarkfield/base';
import type {ObjectWrite} from './objectTable.js';

/**
 * The error of a call without an answer in time.
 *
 * @example
 * throw timedOut(true); // outcome-unknown
 */
export function timedOut(isWrite: boolean): ServingError {
  if (isWrite) {
    return new ServingError('outcome-unknown', 'the write was not answered');
  }
  return new ServingError('platform-unavailable', 'the read was not answered');
}

/**
 * The error of a call that its caller has cancelled.
 *
 * @example
 * throw cancelled(false); // not-run
 */
export function cancelled(isWrite: boolean): ServingError {
  return new ServingError('cancelled', 'the call was cancelled', {
    run: isWrite ? 'may-have-run' : 'not-run',
  });
}

/**
 * The error of a write that lost against another writer.
 *
 * @example
 * throw conflict(target);
 */
export function conflict(target: ObjectWrite): ServingError {
  return new ServingError(
    'version-conflict',
    `${target.kind}/${target.name} was changed by another writer first`,
  );
}

/**
 * The error of a write of which nobody can tell whether it took effect.
 *
 * @example
 * throw unknownOutcome(target, error);
 */
export function unknownOutcome(
  target: ObjectWrite,
  cause: unknown,
): ServingError {
  return new ServingError(
    'outcome-unknown',
    `whether the write of ${target.kind}/${target.name} took effect cannot be told`,
    {cause},
  );
}

/**
 * Makes a refusal by the platform's own rate limit `platform-unavailable`, which
 * is what it is to callers; other errors stay as they are.
 *
 * @example
 * throw asRefusal(error);
 */
export function asRefusal(error: unknown): unknown {
  if (!isServingError(error, 'overloaded')) {
    return error;
  }
  return new ServingError('platform-unavailable', error.message, {
    retryAfterMs: error.retryAfterMs,
    cause: error,
  });
}

/**
 * Throws what `asRefusal` makes of an error.
 *
 * @example
 * await reading.catch(rethrowRefusal);
 */
export function rethrowRefusal(error: unknown): never {
  throw asRefusal(error);
}
