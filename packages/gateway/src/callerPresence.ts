/** Finds out whether a caller is still there once its request has been read. */
import {ServingError} from '@skylarkfield/base';

/**
 * Throws `cancelled`, as not run, when the caller has left. A process that is
 * behind reads a request and the end of its connection in two turns of the event
 * loop, and would work for nobody in between.
 *
 * @example
 * await checkPresence(callerSignal);
 */
export async function checkConnected(caller: AbortSignal): Promise<void> {
  await nextTurn();
  await nextTurn();
  if (caller.aborted) {
    throw new ServingError('cancelled', 'the caller has left', {
      run: 'not-run',
    });
  }
}

function nextTurn(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
