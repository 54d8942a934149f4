/** The states of one attempt at an engine. */
import {createMachine, interpret, state, transition} from 'robot3';

export type AttemptState =
  /** Sent; the engine has not begun with it as far as we know. */
  | 'sent'
  /** The engine has begun with the prompt. */
  | 'started'
  /** Tokens come. */
  | 'streaming'
  /** Another endpoint is being prepared to go on with it. */
  | 'moving'
  | 'ended'
  | 'lost'
  | 'moved'
  | 'cancelled';

export type AttemptSignal =
  | 'start'
  | 'token'
  | 'leave'
  | 'end'
  | 'lose'
  | 'move'
  | 'cancel';

const closing = [
  transition('end', 'ended'),
  transition('lose', 'lost'),
  transition('cancel', 'cancelled'),
];

const machine = createMachine('sent', {
  sent: state(
    transition('start', 'started'),
    transition('token', 'streaming'),
    transition('leave', 'moving'),
    ...closing,
  ),
  started: state(
    transition('token', 'streaming'),
    transition('leave', 'moving'),
    ...closing,
  ),
  streaming: state(transition('leave', 'moving'), ...closing),
  moving: state(transition('move', 'moved'), ...closing),
  ended: state(),
  lost: state(),
  moved: state(),
  cancelled: state(),
});

export interface AttemptStates {
  readonly current: AttemptState;
  /** Goes to the next state; a signal that the state does not know is ignored. */
  send(signal: AttemptSignal): void;
}

/**
 * Makes the states of an attempt that has just been sent.
 *
 * @example
 * const states = createAttemptStates();
 * states.send('start');
 */
export function createAttemptStates(): AttemptStates {
  const service = interpret(machine, () => {});
  return {
    get current() {
      return service.machine.current as AttemptState;
    },
    send: signal => service.send(signal),
  };
}
