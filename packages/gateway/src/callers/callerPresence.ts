/** Detects callers that have disconnected or have been answered. */
import type {ServerResponse} from 'node:http';
import {ServingError} from '@skylarkfield/base';

/**
 * Returns a signal that is aborted when the connection closes before the
 * response is complete.
 *
 * @example
 * const callerSignal = watchDisconnect(response);
 */
export function watchDisconnect(response: ServerResponse): AbortSignal {
  const controller = new AbortController();
  response.once('close', () => {
    if (!response.writableFinished) {
      controller.abort();
    }
  });
  return controller.signal;
}

/**
 * Resolves when the response has been sent completely, or its connection has
 * closed; to be called before the response ends. A slow caller reads the
 * response long after its end has been buffered.
 *
 * @example
 * void whenSent(response).then(inFlight.end);
 */
export function whenSent(response: ServerResponse): Promise<void> {
  return new Promise(resolve => response.once('close', resolve));
}

/**
 * Throws `cancelled` with run state `not-run` if the caller has disconnected.
 * An overloaded process reads a request and the end of its connection in two
 * different turns of the event loop, so this function waits for two turns:
 * otherwise the request of a disconnected caller would be run.
 *
 * @example
 * await checkConnected(callerSignal);
 */
export async function checkConnected(callerSignal: AbortSignal): Promise<void> {
  await waitForNextTurn();
  await waitForNextTurn();
  if (callerSignal.aborted) {
    throw new ServingError('cancelled', 'the caller disconnected', {
      run: 'not-run',
    });
  }
}

function waitForNextTurn(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
