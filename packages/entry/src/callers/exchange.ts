/** One request of a caller with what was found out about it. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Customer} from '@skylarkfield/records';

export interface Exchange {
  readonly id: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly customer: Customer;
  /** Aborted when the caller goes away. */
  readonly signal: AbortSignal;
  /** Monotonic milliseconds at which the request arrived. */
  readonly arrivedAt: number;
}

/**
 * Gives a signal that aborts when the caller closes its connection before the
 * answer is complete, so that nothing goes on working for nobody.
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
