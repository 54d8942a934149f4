/** Aborts an attempt and records the reason. */
import {
  ServingError,
  createDisposableStore,
  type Clock,
  type Disposable,
} from '@skylarkfield/base';
import type {AttemptTarget} from './migration.js';

export type AbortReason =
  /** The attempt failed; another attempt may follow. */
  | {readonly type: 'lost'; readonly error: ServingError}
  /** The stream continues at another endpoint. */
  | {readonly type: 'moved'; readonly target: AttemptTarget}
  /** Another attempt has sent the next event. */
  | {readonly type: 'superseded'}
  /** The caller aborted the request or a deadline passed. */
  | {readonly type: 'request-ended'; readonly error: ServingError};

export interface AttemptAbortController extends Disposable {
  /** Aborts with the first call of `abort`, or on disposal. */
  readonly signal: AbortSignal;
  /** Reason of the first abort; undefined before an abort. */
  readonly reason: AbortReason | undefined;
  abort(reason: AbortReason): void;
  /**
   * Aborts the whole request with `deadline-exceeded` at a time in monotonic
   * milliseconds, unless the returned object is disposed before.
   */
  abortAt(deadlineMs: number, message: string): Disposable;
}

/**
 * Creates the abort controller of an attempt, which also aborts when the
 * caller's signal aborts.
 *
 * @example
 * const abortController = createAttemptAbortController(clock, callerSignal);
 * abortController.abortAt(request.deadline, 'the answer was late');
 */
export function createAttemptAbortController(
  clock: Clock,
  callerSignal: AbortSignal,
): AttemptAbortController {
  const controller = new AbortController();
  const disposables = createDisposableStore();
  let reason: AbortReason | undefined;

  function abort(abortReason: AbortReason) {
    reason ??= abortReason;
    controller.abort();
  }

  function abortRequest(error: ServingError) {
    abort({type: 'request-ended', error});
  }

  const onCallerAbort = () =>
    abortRequest(
      new ServingError('cancelled', 'the caller aborted the request'),
    );
  if (callerSignal.aborted) {
    onCallerAbort();
  }
  callerSignal.addEventListener('abort', onCallerAbort, {once: true});
  disposables.add({
    dispose: () => callerSignal.removeEventListener('abort', onCallerAbort),
  });

  return {
    signal: controller.signal,
    get reason() {
      return reason;
    },
    abort,
    abortAt: (deadlineMs, message) =>
      disposables.add(
        clock.after(deadlineMs - clock.now(), () =>
          abortRequest(new ServingError('deadline-exceeded', message)),
        ),
      ),
    dispose() {
      // Aborts the preparation of a migration that is still in progress.
      abort({
        type: 'lost',
        error: new ServingError('cancelled', 'the attempt has ended'),
      });
      disposables.dispose();
    },
  };
}
