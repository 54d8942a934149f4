/** State machine of a bulkhead, shown in dumps and the decision log. */
import {createMachine, interpret, state, transition} from 'robot3';

/**
 * `flowing`: admits at once. `queueing`: queues. `refusing`: rejected requests
 * since the queue was last empty. `closed`: the service was removed.
 */
export type BulkheadState = 'flowing' | 'queueing' | 'refusing' | 'closed';

export type BulkheadEvent = 'wait' | 'refuse' | 'clear' | 'close';

export interface BulkheadMachine {
  state(): BulkheadState;
  send(event: BulkheadEvent): void;
}

/**
 * Creates the state machine; `onEnter` is called on each change of state.
 *
 * @example
 * const machine = createBulkheadMachine(state => states.push(state));
 * machine.send('wait');
 */
export function createBulkheadMachine(
  onEnter: (state: BulkheadState) => void,
): BulkheadMachine {
  const machine = createMachine('flowing', {
    flowing: state(
      transition('wait', 'queueing'),
      transition('refuse', 'refusing'),
      transition('close', 'closed'),
    ),
    queueing: state(
      transition('clear', 'flowing'),
      transition('refuse', 'refusing'),
      transition('close', 'closed'),
    ),
    refusing: state(
      transition('clear', 'flowing'),
      transition('close', 'closed'),
    ),
    closed: state(),
  });
  let lastState: BulkheadState = 'flowing';
  const service = interpret(machine, () => {
    const entered = service.machine.current as BulkheadState;
    if (entered !== lastState) {
      lastState = entered;
      onEnter(entered);
    }
  });
  return {
    state: () => service.machine.current as BulkheadState,
    send: event => service.send(event),
  };
}
