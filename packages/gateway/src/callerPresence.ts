/** Detects callers that disconnected while their request was being read. */
import {ServingError} from '@skylarkfield/base';

/**
 * Throws `cancelled`, as not run, if the caller has disconnected. An overloaded
 * process reads a request and the end of its connection in two turns of the
 * event loop, and would serve an absent caller in between.
 *
 * @example
 * await checkConnected(callerSignal);
 */
export async function checkConnected(callerSignal: AbortSignal): Promise<void> {
  await nextTurn();
  await nextTurn();
  if (callerSignal.aborted) {
    throw new ServingError('cancelled', 'the caller disconnected', {
      run: 'not-run',
    });
  }
}

function nextTurn(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
