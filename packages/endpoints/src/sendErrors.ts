/** Tells from a failed HTTP request whether any of it can have reached the peer. */
import {ServingError, isServingError} from '@skylarkfield/base';

/** Errors of connecting: no connection came about, so no byte was sent. */
const CONNECT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EHOSTDOWN',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

function codeOf(error: unknown): string {
  if (typeof error === 'object' && error !== null && 'code' in error) {
    return String(error.code);
  }
  return '';
}

/**
 * True when the error proves that no connection was made. A connection that
 * broke proves nothing: its peer may have read the request before.
 *
 * @example
 * if (isNeverSent(error)) { return tryAnother(); }
 */
export function isNeverSent(error: unknown): boolean {
  if (CONNECT_ERROR_CODES.has(codeOf(error))) {
    return true;
  }
  if (error instanceof AggregateError && error.errors.length > 0) {
    return error.errors.every(isNeverSent);
  }
  return false;
}

/**
 * Turns an error of an HTTP client into a `ServingError` with a true run state.
 *
 * @example
 * catch (error) { throw toSendError(error, signal, 'generate'); }
 */
export function toSendError(
  error: unknown,
  signal: AbortSignal | undefined,
  what: string,
): ServingError {
  if (isServingError(error)) {
    return error;
  }
  if (signal?.aborted) {
    return new ServingError('cancelled', `${what} was cancelled`, {
      cause: error,
    });
  }
  const reason = error instanceof Error ? error.message : String(error);
  if (isNeverSent(error)) {
    return new ServingError('endpoint-unavailable', `${what}: ${reason}`, {
      run: 'not-run',
      cause: error,
    });
  }
  return new ServingError('interrupted', `${what}: ${reason}`, {cause: error});
}
