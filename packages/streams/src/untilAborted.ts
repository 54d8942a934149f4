/** Waits that end early. */
import {ServingError} from '@skylarkfield/base';

/**
 * Waits for a promise, but no longer than until the signal aborts; then it
 * rejects with `cancelled`.
 *
 * @example
 * await untilAborted(deliver(token), signal);
 */
export async function untilAborted(
  promise: Promise<void>,
  signal: AbortSignal,
): Promise<void> {
  let onAbort = () => {};
  const aborted = new Promise<void>((_, reject) => {
    onAbort = () => reject(new ServingError('cancelled', 'stopped'));
    signal.addEventListener('abort', onAbort, {once: true});
  });
  try {
    await Promise.race([promise, aborted]);
  } finally {
    signal.removeEventListener('abort', onAbort);
  }
}
