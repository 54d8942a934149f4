/** Records state changes of a bulkhead in the decision log, at a limited rate. */
import type {Clock, DecisionLog} from '@skylarkfield/base';
import type {BulkheadState} from './bulkheadMachine.js';

/** Minimum interval between logged state changes, in milliseconds. */
const DECISION_INTERVAL_MS = 5000;

/** Reason for entering each state, for the decision log. */
const stateReasons: Readonly<Record<BulkheadState, string>> = {
  flowing: 'the queue is empty',
  queueing: 'the concurrency limit of this entry is reached',
  refusing: 'the queue is full or requests cannot meet their deadlines',
  closed: 'the service was removed',
};

/**
 * Returns a function that records an entered state. It never records
 * `queueing`, and always records `closed`.
 *
 * @example
 * const machine = createBulkheadMachine(
 *   createBulkheadStateLog({clock, decisions, service, currentFigures}),
 * );
 */
export function createBulkheadStateLog(options: {
  readonly clock: Clock;
  readonly decisions: DecisionLog;
  readonly service: string;
  /** Returns the figures that are logged with a state. */
  readonly currentFigures: () => Readonly<Record<string, number>>;
}): (enteredState: BulkheadState) => void {
  const {clock, decisions, service, currentFigures} = options;
  let lastDecisionAt = -Infinity;

  return enteredState => {
    const wasLoggedRecently =
      clock.now() - lastDecisionAt < DECISION_INTERVAL_MS;
    if (
      enteredState === 'queueing' ||
      (enteredState !== 'closed' && wasLoggedRecently)
    ) {
      return;
    }
    lastDecisionAt = clock.now();
    decisions.recordDecision(
      'admission',
      service,
      enteredState,
      stateReasons[enteredState],
      currentFigures(),
    );
  };
}
