/** State machine of the paths from this entry to the endpoints of a service. */
import {createMachine, interpret, state, transition} from 'robot3';

export type ReachState =
  /** At least one endpoint has responded recently, or none was needed. */
  | 'reachable'
  /** No endpoint responds; probes decide what is lost. */
  | 'suspected'
  /** This entry reaches no endpoint, but another entry does. */
  | 'cut-off'
  /** No entry is known to reach an endpoint. */
  | 'gone';

export type ReachEvent = 'suspect' | 'cut' | 'lose' | 'regain';

const regain = transition('regain', 'reachable');
const cut = transition('cut', 'cut-off');
const lose = transition('lose', 'gone');

const machine = createMachine('reachable', {
  reachable: state(transition('suspect', 'suspected')),
  suspected: state(cut, lose, regain),
  'cut-off': state(lose, regain),
  gone: state(cut, regain),
});

export interface ReachMachine {
  readonly current: ReachState;
  /** Applies an event; ignored if the current state has no transition for it. */
  send(event: ReachEvent): void;
}

/**
 * Creates a state machine in state `reachable`.
 *
 * @example
 * const machine = createReachMachine();
 * machine.send('suspect');
 */
export function createReachMachine(): ReachMachine {
  const service = interpret(machine, () => {});
  return {
    get current() {
      return service.machine.current as ReachState;
    },
    send: event => service.send(event),
  };
}
