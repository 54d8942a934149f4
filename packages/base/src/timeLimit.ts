/** Limits the time of calls that take an abort signal. */
import type {Clock} from './clock.js';

/**
 * Runs a call whose signal is aborted when `signal` is, or after the time limit.
 *
 * The timer holds the signal. A signal of `AbortSignal.timeout` within
 * `AbortSignal.any` may be collected as garbage, and then never fires.
 *
 * @example
 * const answer = await withTimeLimit(clock, 1_500, term.signal, signal =>
 *   orders.reportUsage(credentials, window, counts, signal));
 */
export async function withTimeLimit<T>(
  clock: Pick<Clock, 'after'>,
  limitMs: number,
  signal: AbortSignal | undefined,
  call: (signal: AbortSignal) => Promise<T>,
): Promise<T> {
  const controller = new AbortController();
  const abort = () => controller.abort(signal?.reason);
  const timer = clock.after(limitMs, () =>
    controller.abort(
      new DOMException(`no result within ${limitMs} ms`, 'TimeoutError'),
    ),
  );
  if (signal?.aborted) {
    abort();
  }
  signal?.addEventListener('abort', abort, {once: true});
  try {
    return await call(controller.signal);
  } finally {
    timer.dispose();
    signal?.removeEventListener('abort', abort);
  }
}
