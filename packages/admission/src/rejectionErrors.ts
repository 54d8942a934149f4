/** Errors of requests that are not admitted. */
import {errorOfAbort, ServingError} from '@skylarkfield/base';

/**
 * Returns the error of a request that finds the queue full, or is evicted from
 * it.
 *
 * @example
 * throw overloadedError('chat', jitteredRetryAfterMs(waitMs, random));
 */
export function overloadedError(
  service: string,
  retryAfterMs: number,
): ServingError {
  const message = `the concurrency limit of ${service} is reached and its queue is full`;
  return new ServingError('overloaded', message, {
    run: 'not-run',
    retryAfterMs,
  });
}

/**
 * Returns the error of a request whose deadline cannot be met.
 *
 * @example
 * throw deadlineUnreachableError('chat', jitteredRetryAfterMs(waitMs, random));
 */
export function deadlineUnreachableError(
  service: string,
  retryAfterMs: number,
): ServingError {
  const message = `${service} cannot respond before the deadline`;
  return new ServingError('deadline-exceeded', message, {
    run: 'not-run',
    retryAfterMs,
  });
}

/**
 * Returns the error of a queued request whose signal was aborted.
 *
 * @example
 * signal.addEventListener('abort', () => reject(abortedError(signal)));
 */
export function abortedError(signal: AbortSignal): ServingError {
  return errorOfAbort(signal, 'the caller cancelled the queued request');
}

/**
 * Returns the error of a request to a service that was removed.
 *
 * @example
 * throw serviceRemovedError('chat');
 */
export function serviceRemovedError(service: string): ServingError {
  return new ServingError(
    'unknown-service',
    `the service ${service} was removed`,
  );
}
