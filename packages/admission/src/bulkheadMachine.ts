/**
 * State machine of a bulkhead; the state appears in dumps and the decision log.
 */
import {createMachine, interpret, state, transition} from 'robot3';

/**
 * `flowing`: requests are admitted at once. `queueing`: requests are queued.
 * `refusing`: requests have been rejected since the queue was last empty.
 * `closed`: the service was removed.
 */
export type BulkheadState = 'flowing' | 'queueing' | 'refusing' | 'closed';

export type BulkheadEvent = 'queued' | 'rejected' | 'emptied' | 'close';

export interface BulkheadMachine {
  state(): BulkheadState;
  send(event: BulkheadEvent): void;
}

/**
 * Creates the state machine; `onEnter` is called on each change of state.
 *
 * @example
 * const machine = createBulkheadMachine(state => states.push(state));
 * machine.send('queued');
 */
export function createBulkheadMachine(
  onEnter: (state: BulkheadState) => void,
): BulkheadMachine {
  const machine = createMachine('flowing', {
    flowing: state(
      transition('queued', 'queueing'),
      transition('rejected', 'refusing'),
      transition('close', 'closed'),
    ),
    queueing: state(
      transition('emptied', 'flowing'),
      transition('rejected', 'refusing'),
      transition('close', 'closed'),
    ),
    refusing: state(
      transition('emptied', 'flowing'),
      transition('close', 'closed'),
    ),
    closed: state(),
  });
  let lastState: BulkheadState = 'flowing';
  const interpreter = interpret(machine, () => {
    const enteredState = interpreter.machine.current as BulkheadState;
    if (enteredState !== lastState) {
      lastState = enteredState;
      onEnter(enteredState);
    }
  });
  return {
    state: () => interpreter.machine.current as BulkheadState,
    send: event => interpreter.send(event),
  };
}
