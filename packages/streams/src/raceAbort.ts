/** Waits for a promise or for an abort signal. */
import {ServingError} from '@skylarkfield/base';

/**
 * Waits for a promise; rejects with `cancelled` when the signal aborts first.
 *
 * @example
 * await raceAbort(deliver(token), signal);
 */
export async function raceAbort(
  promise: Promise<void>,
  signal: AbortSignal,
): Promise<void> {
  let onAbort = () => {};
  const aborted = new Promise<void>((_, reject) => {
    onAbort = () =>
      reject(new ServingError('cancelled', 'the attempt was aborted'));
    signal.addEventListener('abort', onAbort, {once: true});
  });
  try {
    await Promise.race([promise, aborted]);
  } finally {
    signal.removeEventListener('abort', onAbort);
  }
}
