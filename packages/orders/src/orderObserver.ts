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
  /** A caller of this entry was answered. */
  onDidAnswer(service: string, outcome: OrderOutcome): void;
  /** A shard or segment is about to be written, or written again by a retry. */
  onWillWrite(): void;
  /** This process has taken a shard over. */
  onDidTakeOver(): void;
}

/** Observer of a ledger whose options contain none. */
export const noopObserver: OrderObserver = {
  onDidAnswer: () => undefined,
  onWillWrite: () => undefined,
  onDidTakeOver: () => undefined,
};

/**
 * Wraps a store and reports its writes.
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
