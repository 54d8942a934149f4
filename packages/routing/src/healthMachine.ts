/** Whether an endpoint may get work: one state machine per endpoint. */
import {createMachine, interpret, state, transition} from 'robot3';

export type HealthState =
  /** Gets work. */
  | 'live'
  /** Gets one request at a time until some have gone well. */
  | 'probing'
  /** Gets nothing until its time is up. */
  | 'ejected'
  /** Gets nothing any more. */
  | 'leaving';

export type HealthSignal = 'eject' | 'doubt' | 'probe' | 'recover' | 'leave';

const leave = transition('leave', 'leaving');
const eject = transition('eject', 'ejected');

const machine = createMachine('live', {
  live: state(eject, leave, transition('doubt', 'probing')),
  probing: state(eject, leave, transition('recover', 'live')),
  ejected: state(leave, transition('probe', 'probing')),
  leaving: state(),
});

export interface HealthStates {
  readonly current: HealthState;
  /** Goes to the next state; a signal that the state does not know is ignored. */
  send(signal: HealthSignal): void;
}

/**
 * Makes the states of an endpoint that is live.
 *
 * @example
 * const states = createHealthStates();
 * states.send('eject');
 */
export function createHealthStates(): HealthStates {
  const service = interpret(machine, () => {});
  return {
    get current() {
      return service.machine.current as HealthState;
    },
    send: signal => service.send(signal),
  };
}
