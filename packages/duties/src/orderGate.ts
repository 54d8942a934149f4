/**
 * Delays orders to endpoints that do not check fencing tokens.
 *
 * An endpoint without token checks would execute a delayed order of the
 * previous holder and thereby undo an order of the new holder. Each order has a
 * deadline after which its sender abandons it, so a new holder waits until the
 * deadlines of all orders of the previous holder have passed.
 */
import type {Clock} from '@skylarkfield/base';
import type {DutyTerm} from './contracts.js';
import {defaultLeaseTiming} from './lease.js';

/** Decides when a new holder may send orders to an endpoint. */
export interface OrderGate {
  /** Returns whether an order may be sent to the endpoint now. */
  isOpen(endpoint: {readonly checksFencing: boolean}): boolean;
  /**
   * Returns the milliseconds until orders may be sent to endpoints that do not
   * check fencing tokens.
   */
  opensInMs(): number;
}

/**
 * Creates the order gate of a term.
 *
 * @param options.orderDeadlineMs Maximum time from sending an order
 *   to its deadline, in milliseconds.
 * @example
 * const gate = createOrderGate({clock, term, orderDeadlineMs: 5000});
 * if (gate.isOpen(endpoint)) { await model.order(order, term.fencing); }
 */
export function createOrderGate(options: {
  readonly clock: Clock;
  readonly term: DutyTerm;
  readonly orderDeadlineMs: number;
  readonly marginMs?: number;
}): OrderGate {
  const {clock, term, orderDeadlineMs} = options;
  const marginMs = options.marginMs ?? defaultLeaseTiming.marginMs;
  const opensAt = term.acquiredAt + orderDeadlineMs + marginMs;

  function opensInMs(): number {
    return Math.max(0, opensAt - clock.now());
  }

  return {
    opensInMs,
    isOpen: endpoint =>
      term.isValid() && (endpoint.checksFencing || opensInMs() === 0),
  };
}
