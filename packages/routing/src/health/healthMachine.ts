/** State machine of one endpoint's health. */
import {createMachine, interpret, state, transition} from 'robot3';

export type HealthState =
  /** Receives requests. */
  | 'live'
  /** Receives one request at a time until enough requests succeed. */
  | 'probing'
  /** Receives no requests until the ejection expires. */
  | 'ejected'
  /** Receives no new requests; this state is final. */
  | 'leaving';

export type HealthEvent =
  | 'eject'
  | 'requireProbe'
  | 'probe'
  | 'recover'
  | 'leave';

const leave = transition('leave', 'leaving');
const eject = transition('eject', 'ejected');

const machine = createMachine('live', {
  live: state(eject, leave, transition('requireProbe', 'probing')),
  probing: state(eject, leave, transition('recover', 'live')),
  ejected: state(leave, transition('probe', 'probing')),
  leaving: state(),
});

export interface HealthStateMachine {
  readonly current: HealthState;
  /**
   * Applies an event; ignored if the current state has no transition for it.
   */
  send(event: HealthEvent): void;
}

/**
 * Creates a state machine in state `live`.
 *
 * @example
 * const machine = createHealthStateMachine();
 * machine.send('eject');
 */
export function createHealthStateMachine(): HealthStateMachine {
  const service = interpret(machine, () => {});
  return {
    get current() {
      return service.machine.current as HealthState;
    },
    send: event => service.send(event),
  };
}
