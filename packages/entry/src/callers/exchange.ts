/** An HTTP exchange with a caller. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Customer} from '@skylarkfield/records';

export interface Exchange {
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
 * Returns a signal that aborts when the caller disconnects before the response
 * is complete, so that abandoned requests use no more capacity.
 *
 * @example
 * const signal = callerSignal(response);
 */
export function callerSignal(response: ServerResponse): AbortSignal {
  const controller = new AbortController();
  response.once('close', () => {
    if (!response.writableFinished) {
      controller.abort();
    }
  });
  return controller.signal;
}
