/**
 * Orders to endpoints that don't check fencing numbers.
 *
 * Such an endpoint obeys an order of the former holder that is still on its way
 * and undoes what the new holder has ordered. Each order carries a deadline
 * after which its sender gives it up, so a new holder waits until the last one
 * of its predecessor is past.
 */
import type {Clock} from '@skylarkfield/base';
import type {Tenure} from './contracts.js';
import {defaultLeaseTiming} from './lease.js';

/** Tells when a new holder may give orders to an endpoint. */
export interface OrderGate {
  /** Whether an order may be sent now to an endpoint. */
  isOpen(endpoint: {readonly checksFencing: boolean}): boolean;
  /** Milliseconds until orders may go to endpoints that don't check. */
  opensInMs(): number;
}

/**
 * Makes the gate of a tenure.
 *
 * @param options.orderDeadlineMs The longest that any order is under way.
 * @example
 * const gate = createOrderGate({clock, tenure, orderDeadlineMs: 5000});
 * if (gate.isOpen(endpoint)) { await model.order(order, tenure.fencing); }
 */
export function createOrderGate(options: {
  readonly clock: Clock;
  readonly tenure: Tenure;
  readonly orderDeadlineMs: number;
  readonly marginMs?: number;
}): OrderGate {
  const {clock, tenure, orderDeadlineMs} = options;
  const marginMs = options.marginMs ?? defaultLeaseTiming.marginMs;
  const opensAt = tenure.acquiredAt + orderDeadlineMs + marginMs;

  function opensInMs(): number {
    return Math.max(0, opensAt - clock.now());
  }

  return {
    opensInMs,
    isOpen: endpoint =>
      tenure.isValid() && (endpoint.checksFencing || opensInMs() === 0),
  };
}
