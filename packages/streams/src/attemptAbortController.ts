/** Abort of an attempt by this process, with its reason. */
import {
  ServingError,
  disposableStore,
  type Clock,
  type Disposable,
} from '@skylarkfield/base';
import type {AttemptTarget} from './migration.js';

export type AbortReason =
  /** The attempt failed; another one may follow. */
  | {readonly type: 'lost'; readonly error: ServingError}
  /** The stream continues at another endpoint. */
  | {readonly type: 'moved'; readonly target: AttemptTarget}
  /** The caller aborted the request or a deadline passed. */
  | {readonly type: 'request-ended'; readonly error: ServingError};

export interface AttemptAbortController extends Disposable {
  /** Aborts with the first call of `abort` or when disposed. */
  readonly signal: AbortSignal;
  /** Reason of the first abort; undefined while the attempt runs. */
  readonly reason: AbortReason | undefined;
  abort(reason: AbortReason): void;
  /** Ends the request at a monotonic time, unless disposed before. */
  abortAt(deadlineMs: number, message: string): Disposable;
}

/**
 * Creates the abort controller of an attempt; it follows the caller's signal.
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
  const disposables = disposableStore();
  let reason: AbortReason | undefined;

  function abort(newReason: AbortReason) {
    reason ??= newReason;
    controller.abort();
  }

  function failRequest(error: ServingError) {
    abort({type: 'request-ended', error});
  }

  const onAbort = () =>
    failRequest(
      new ServingError('cancelled', 'the caller aborted the request'),
    );
  if (callerSignal.aborted) {
    onAbort();
  }
  callerSignal.addEventListener('abort', onAbort, {once: true});
  disposables.add({
    dispose: () => callerSignal.removeEventListener('abort', onAbort),
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
          failRequest(new ServingError('deadline-exceeded', message)),
        ),
      ),
    dispose() {
      // Aborts a migration that is still being prepared.
      abort({
        type: 'lost',
        error: new ServingError('cancelled', 'the attempt has ended'),
      });
      disposables.dispose();
    },
  };
}
