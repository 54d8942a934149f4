/** What a ledger tells whoever counts its work. */
import {toServingError} from '@skylarkfield/base';
import type {ObjectStore} from '@skylarkfield/providers';
import type {OrderAnswer} from './contracts.js';

/** How an order of this entry's caller ended. */
export type OrderOutcome =
  | 'reply'
  | 'replay'
  | 'not-run'
  | 'may-have-run'
  | 'key-conflict';

export interface OrderObserver {
  /** A caller of this entry was answered. */
  onDidAnswer(service: string, outcome: OrderOutcome): void;
  /** A write of a shard or segment goes to the platform, a repeated one too. */
  onWillWrite(): void;
  /** A shard was taken over. */
  onDidTakeOver(): void;
}

/** An observer that counts nothing. */
export const noopObserver: OrderObserver = {
  onDidAnswer: () => undefined,
  onWillWrite: () => undefined,
  onDidTakeOver: () => undefined,
};

/**
 * The store with its writes reported.
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
 * Reports how an order ended and passes its answer or error on.
 *
 * @example
 * return observeAnswer(observer, order.service, submit(order, signal));
 */
export async function observeAnswer(
  observer: OrderObserver,
  service: string,
  answer: Promise<OrderAnswer>,
): Promise<OrderAnswer> {
  try {
    const {isReplay} = await answer;
    observer.onDidAnswer(service, isReplay ? 'replay' : 'reply');
  } catch (error) {
    const {kind, run} = toServingError(error);
    observer.onDidAnswer(service, kind === 'key-conflict' ? kind : run);
  }
  return answer;
}
