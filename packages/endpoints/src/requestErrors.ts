/** Converts HTTP client errors to errors with the run state that they imply. */
import {ServingError, isServingError} from '@skylarkfield/base';

/** Codes of errors in establishing a connection: no byte was sent. */
const CONNECT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EHOSTDOWN',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

function errorCode(error: unknown): string {
  if (typeof error === 'object' && error !== null && 'code' in error) {
    return String(error.code);
  }
  return '';
}

/**
 * Returns whether the error proves that no connection was established. A lost
 * connection is no proof: the peer may have read the request before.
 *
 * @example
 * if (isConnectError(error)) { return retryElsewhere(); }
 */
export function isConnectError(error: unknown): boolean {
  if (CONNECT_ERROR_CODES.has(errorCode(error))) {
    return true;
  }
  if (error instanceof AggregateError && error.errors.length > 0) {
    return error.errors.every(isConnectError);
  }
  return false;
}

/**
 * Converts an HTTP client error to a `ServingError` with the correct run state.
 *
 * @example
 * catch (error) { throw toRequestError(error, signal, 'generate'); }
 */
export function toRequestError(
  error: unknown,
  signal: AbortSignal | undefined,
  operation: string,
): ServingError {
  if (isServingError(error)) {
    return error;
  }
  if (signal?.aborted) {
    return new ServingError('cancelled', `${operation} was cancelled`, {
      cause: error,
    });
  }
  const message = error instanceof Error ? error.message : String(error);
  if (isConnectError(error)) {
    return new ServingError(
      'endpoint-unavailable',
      `${operation}: ${message}`,
      {
        run: 'not-run',
        cause: error,
      },
    );
  }
  return new ServingError('interrupted', `${operation}: ${message}`, {
    cause: error,
  });
}
