/** Bounds the requests of a stopping process by the time at which it stops. */
import type {Disposable} from './disposables.js';
import {ServingError} from './errors.js';
import type {ProcessLifecycle} from './processLifecycle.js';

export interface DrainGuard {
  /**
   * Returns the error `leaving` with run state `not-run` if the process stops
   * before the deadline of a request that has not been sent yet.
   */
  rejectionFor(deadlineAt: number): ServingError | undefined;
  /**
   * Waits until a request is admitted. `admit` gets a signal that is aborted
   * with `signal`, or with the error `leaving` once the request may not begin any
   * more; it throws the error of `errorOfAbort` then.
   */
  admit<T>(
    deadlineAt: number,
    signal: AbortSignal,
    admit: (signal: AbortSignal) => Promise<T>,
  ): Promise<T>;
  /** Calls the listener with the error of running requests when the process stops. */
  onDidStop(listener: (error: ServingError) => void): Disposable;
}

/**
 * Creates the guard of one process. `retryAfterMs` is the Retry-After of its
 * rejections.
 *
 * @example
 * const drainGuard = createDrainGuard(lifecycle, 50);
 * const permit = await drainGuard.admit(deadlineAt, signal, admissionSignal =>
 *   admission.admit(request, admissionSignal));
 */
export function createDrainGuard(
  lifecycle: Pick<ProcessLifecycle, 'mayBegin' | 'onDidChange'>,
  retryAfterMs: number,
): DrainGuard {
  function rejectionFor(deadlineAt: number): ServingError | undefined {
    return lifecycle.mayBegin(deadlineAt)
      ? undefined
      : new ServingError(
          'leaving',
          'this entry stops before the deadline of the request',
          {retryAfterMs},
        );
  }

  return {
    rejectionFor,
    admit(deadlineAt, signal, admit) {
      const controller = new AbortController();
      const abort = () => controller.abort(rejectionFor(deadlineAt));
      const abortIfDraining = () => {
        if (!lifecycle.mayBegin(deadlineAt)) {
          abort();
        }
      };
      const subscription = lifecycle.onDidChange(abortIfDraining);
      signal.addEventListener('abort', abort, {once: true});
      if (signal.aborted) {
        abort();
      }
      abortIfDraining();
      const release = () => {
        subscription.dispose();
        signal.removeEventListener('abort', abort);
      };
      const admission = admit(controller.signal);
      admission.then(release, release);
      return admission;
    },
    onDidStop: listener =>
      lifecycle.onDidChange(state => {
        if (state === 'stopped') {
          listener(
            new ServingError('leaving', 'this entry has stopped', {
              run: 'may-have-run',
              retryAfterMs,
            }),
          );
        }
      }),
  };
}
