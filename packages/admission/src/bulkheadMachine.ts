/** The states of a service's bulkhead, as the dump and the decision log show them. */
import {createMachine, interpret, state, transition} from 'robot3';

/**
 * `flowing`: requests start at once. `queueing`: they wait. `refusing`: some
 * were turned away since the queue was last empty. `closed`: the service is gone.
 */
export type BulkheadState = 'flowing' | 'queueing' | 'refusing' | 'closed';

export type BulkheadEvent = 'wait' | 'refuse' | 'clear' | 'close';

export interface BulkheadMachine {
  state(): BulkheadState;
  send(event: BulkheadEvent): void;
}

/**
 * Makes the machine; `onEnter` hears each change of state.
 *
 * @example
 * const machine = createBulkheadMachine(state => note(state));
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
  let last: BulkheadState = 'flowing';
  const service = interpret(machine, () => {
    const entered = service.machine.current as BulkheadState;
    if (entered !== last) {
      last = entered;
      onEnter(entered);
    }
  });
  return {
    state: () => service.machine.current as BulkheadState,
    send: event => service.send(event),
  };
}
