/** HTTP request and response of an authenticated caller. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {ServingError, type DrainGuard} from '@skylarkfield/base';
import type {Customer} from '@skylarkfield/records';

export interface Exchange {
  /** Id of the request, sent to the caller as `X-Request-Id`. */
  readonly id: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly customer: Customer;
  /** Aborted when the caller disconnects or this process stops. */
  readonly signal: AbortSignal;
  /** Monotonic milliseconds at which the request arrived. */
  readonly arrivedAt: number;
}

/**
 * Creates a signal that aborts when the caller disconnects before the response
 * is complete, so that abandoned requests use no more capacity, and when this
 * process stops, so that the caller gets an error before the connection closes.
 *
 * @example
 * const signal = createCallerSignal(response, drainGuard);
 */
export function createCallerSignal(
  response: ServerResponse,
  drainGuard: Pick<DrainGuard, 'onDidStop'>,
): AbortSignal {
  const controller = new AbortController();
  const subscription = drainGuard.onDidStop(error => controller.abort(error));
  response.once('close', () => {
    subscription.dispose();
    if (!response.writableFinished) {
      controller.abort();
    }
  });
  return controller.signal;
}

/**
 * Returns the error to answer with if the stop of this process has ended the
 * request; any other error unchanged.
 *
 * @example
 * sendProblem(response, toProblem(failureOf(error, signal), id));
 */
export function failureOf(
  error: ServingError,
  {reason}: AbortSignal,
): ServingError {
  if (error.kind !== 'cancelled' || !(reason instanceof ServingError)) {
    return error;
  }
  const {message, retryAfterMs} = reason;
  return error.run === 'not-run'
    ? new ServingError('leaving', message, {retryAfterMs, cause: error})
    : new ServingError('interrupted', message, {cause: error});
}
