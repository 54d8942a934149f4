/** HTTP request and response of an authenticated caller. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Customer} from '@skylarkfield/records';

export interface Exchange {
  /** Id of the request, sent to the caller as `X-Request-Id`. */
  readonly id: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly customer: Customer;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
  /** Monotonic milliseconds at which the request arrived. */
  readonly arrivedAt: number;
}

/**
 * Creates a signal that aborts when the caller disconnects before the response
 * is complete, so that abandoned requests use no more capacity.
 *
 * @example
 * const signal = createCallerSignal(response);
 */
export function createCallerSignal(response: ServerResponse): AbortSignal {
  const controller = new AbortController();
  response.once('close', () => {
    if (!response.writableFinished) {
      controller.abort();
    }
  });
  return controller.signal;
}
