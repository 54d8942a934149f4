/** Errors of attempts. */
import {ServingError} from '@skylarkfield/base';
import {
  MAX_BODY_BYTES,
  UNSHARED_BODY_BYTES,
  type BodyExcess,
} from './bodyBuffer.js';

/**
 * Returns the error that aborted the signal; `cancelled` by default.
 *
 * @example
 * abort(abortReason(signal), 'silent');
 */
export function abortReason(signal: AbortSignal): ServingError {
  if (signal.reason instanceof ServingError) {
    return signal.reason;
  }
  return new ServingError('cancelled', 'the caller disconnected', {
    run: 'may-have-run',
  });
}

/**
 * Returns the error of an attempt whose endpoint may have run the request.
 *
 * @example
 * throw interruptedError('the response has no head');
 */
export function interruptedError(message: string): ServingError {
  return new ServingError('interrupted', message, {run: 'may-have-run'});
}

/**
 * Returns the error of a response that does not belong to the attempt.
 *
 * @example
 * throw protocolViolationError('the response has a content encoding');
 */
export function protocolViolationError(message: string): ServingError {
  return new ServingError('protocol-violation', message, {
    run: 'may-have-run',
  });
}

/**
 * Returns the error of a response, or of an event of it, that is longer than
 * permitted; it may have no end.
 *
 * @example
 * abort(oversizedError('event', 1_048_576));
 */
export function oversizedError(
  part: 'response' | 'event',
  maxBytes: number,
): ServingError {
  return protocolViolationError(`the ${part} exceeds ${maxBytes} bytes`);
}

/**
 * Errors of attempts whose response is not kept. Both may have run.
 *
 * @example
 * abort(excessErrors['too-long']());
 */
export const excessErrors: Readonly<Record<BodyExcess, () => ServingError>> = {
  'too-long': () => oversizedError('response', MAX_BODY_BYTES),
  'no-memory': () =>
    interruptedError(
      `the response exceeds ${UNSHARED_BODY_BYTES} bytes, and others take the memory for such responses`,
    ),
};

/**
 * Returns the error of an attempt that another one of its request has
 * superseded.
 *
 * @example
 * abort(supersededError());
 */
export function supersededError(): ServingError {
  return new ServingError('cancelled', 'another endpoint responded', {
    run: 'may-have-run',
  });
}

/**
 * Returns the error of an attempt that could not open its connection.
 *
 * @example
 * abort(unreachableError());
 */
export function unreachableError(): ServingError {
  return new ServingError(
    'endpoint-unavailable',
    'no connection to the endpoint could be opened',
  );
}

/**
 * Returns the error for a request that ended before it could be sent.
 *
 * @example
 * abort(notSentError(abortReason(signal)));
 */
export function notSentError({kind, message}: ServingError): ServingError {
  return new ServingError(kind, message, {run: 'not-run'});
}

/**
 * Returns the error of an attempt that was aborted before its start.
 *
 * @example
 * settle({type: 'failed', error: cancelledBeforeSendError()});
 */
export function cancelledBeforeSendError(): ServingError {
  return new ServingError('cancelled', 'cancelled before it was sent', {
    run: 'not-run',
  });
}
