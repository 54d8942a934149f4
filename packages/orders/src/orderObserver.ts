/** Events of a ledger, for metrics. */
import {toServingError} from '@skylarkfield/base';
import type {ObjectStore} from '@skylarkfield/providers';
import type {SubmitResult} from './contracts.js';

/** How an order submitted by a caller of this entry ended. */
export type OrderOutcome =
  | 'reply'
  | 'replay'
  | 'not-run'
  | 'may-have-run'
  | 'key-conflict';

export interface OrderObserver {
  /** Called when a caller of this entry has got a reply or an error. */
  onDidAnswer(service: string, outcome: OrderOutcome): void;
  /** Called before each write of a shard or segment, including retries. */
  onWillWrite(): void;
  /** Called when this process has taken a shard over. */
  onDidTakeOver(): void;
}

/** Ignores all events; used when the ledger options contain no observer. */
export const noopObserver: OrderObserver = {
  onDidAnswer: () => undefined,
  onWillWrite: () => undefined,
  onDidTakeOver: () => undefined,
};

/**
 * Wraps a store and calls `onWillWrite` before each write.
 *
 * @example
 * const store = observeWrites(platformStore, observer.onWillWrite);
 */
export function observeWrites(
  store: ObjectStore,
  onWillWrite: () => void,
): ObjectStore {
  return {
    ...store,
    put(kind, name, value, condition, signal) {
      onWillWrite();
      return store.put(kind, name, value, condition, signal);
    },
  };
}

/**
 * Reports how an order ended and returns its answer or rethrows its error.
 *
 * @example
 * return observeAnswer(observer, order.service, submit(order, signal));
 */
export async function observeAnswer(
  observer: OrderObserver,
  service: string,
  answer: Promise<SubmitResult>,
): Promise<SubmitResult> {
  try {
    const {isReplay} = await answer;
    observer.onDidAnswer(service, isReplay ? 'replay' : 'reply');
  } catch (error) {
    const {kind, run} = toServingError(error);
    observer.onDidAnswer(service, kind === 'key-conflict' ? kind : run);
  }
  return answer;
}
