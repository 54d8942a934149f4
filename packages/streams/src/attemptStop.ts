/** Why and when an attempt is stopped from this side. */
import {
  ServingError,
  disposableStore,
  type Clock,
  type Disposable,
} from '@skylarkfield/base';
import type {PreparedPlace} from './movePlan.js';

export type StopReason =
  /** The engine is given up; another attempt may follow. */
  | {readonly type: 'lost'; readonly error: ServingError}
  /** The stream goes on at another endpoint. */
  | {readonly type: 'moved'; readonly to: PreparedPlace}
  /** The request as a whole ends. */
  | {readonly type: 'over'; readonly error: ServingError};

export interface AttemptStop extends Disposable {
  /** Aborts when the attempt is stopped or disposed. */
  readonly signal: AbortSignal;
  /** The first reason given; undefined while the attempt runs. */
  readonly reason: StopReason | undefined;
  stop(reason: StopReason): void;
  /** Ends the request at a time, in monotonic milliseconds, unless disposed before. */
  endAt(atMs: number, what: string): Disposable;
}

/**
 * Makes the stop of an attempt that ends when the caller's signal aborts.
 *
 * @example
 * const stop = createAttemptStop(clock, callerSignal);
 * stop.endAt(request.deadline, 'the answer did not end in time');
 */
export function createAttemptStop(
  clock: Clock,
  caller: AbortSignal,
): AttemptStop {
  const controller = new AbortController();
  const owned = disposableStore();
  let reason: StopReason | undefined;

  function stop(next: StopReason) {
    reason ??= next;
    controller.abort();
  }

  function end(error: ServingError) {
    stop({type: 'over', error});
  }

  const onAbort = () =>
    end(new ServingError('cancelled', 'the caller has gone'));
  if (caller.aborted) {
    onAbort();
  }
  caller.addEventListener('abort', onAbort, {once: true});
  owned.add({dispose: () => caller.removeEventListener('abort', onAbort)});

  return {
    signal: controller.signal,
    get reason() {
      return reason;
    },
    stop,
    endAt: (atMs, what) =>
      owned.add(
        clock.after(atMs - clock.now(), () =>
          end(new ServingError('deadline-exceeded', what)),
        ),
      ),
    dispose() {
      // Whoever still prepares something for the attempt sees that it is over.
      stop({type: 'lost', error: new ServingError('cancelled', 'it is over')});
      owned.dispose();
    },
  };
}
