/**
 * Delivers decisions on waiting requests after the change that has made them.
 *
 * A receiver may withdraw a request at once, if it cannot send the decision. If
 * that happened within a check of the waiting requests, the check would go on with
 * requests that are decided already.
 */
import type {PlacementDecision} from './contracts.js';
import type {WaitingRequest} from './waitingRequests.js';

export interface DecisionDelivery {
  /** Adds a decision, which is delivered at the end of the running change. */
  add(entry: WaitingRequest, decision: PlacementDecision): void;
  /** Runs a change, and then delivers the decisions unless that is going on. */
  run<T>(change: () => T): T;
}

/**
 * Creates a delivery without decisions.
 *
 * @example
 * delivery.run(() => delivery.add(entry, decision));
 */
export function createDecisionDelivery(): DecisionDelivery {
  const undelivered: (() => void)[] = [];
  let depth = 0;

  function deliver(): void {
    for (let next = undelivered.shift(); next; next = undelivered.shift()) {
      next();
    }
  }

  return {
    add: (entry, decision) =>
      void undelivered.push(() => entry.onDidDecide(decision)),
    run(change) {
      depth += 1;
      try {
        const result = change();
        if (depth === 1) {
          deliver();
        }
        return result;
      } finally {
        depth -= 1;
      }
    },
  };
}
