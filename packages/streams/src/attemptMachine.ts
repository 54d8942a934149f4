/** State machine of one attempt at an engine. */
import {createMachine, interpret, state, transition} from 'robot3';

export type AttemptState =
  /** Sent to the engine; no start event received yet. */
  | 'sent'
  /** The engine has started to process the prompt. */
  | 'started'
  /** The engine sends tokens. */
  | 'streaming'
  /** A migration to another endpoint is being prepared. */
  | 'moving'
  | 'ended'
  | 'lost'
  | 'moved'
  | 'cancelled';

export type AttemptStateEvent =
  | 'start'
  | 'token'
  | 'leave'
  | 'end'
  | 'lose'
  | 'move'
  | 'cancel';

const terminalTransitions = [
  transition('end', 'ended'),
  transition('lose', 'lost'),
  transition('cancel', 'cancelled'),
];

const machine = createMachine('sent', {
  sent: state(
    transition('start', 'started'),
    transition('token', 'streaming'),
    transition('leave', 'moving'),
    ...terminalTransitions,
  ),
  started: state(
    transition('token', 'streaming'),
    transition('leave', 'moving'),
    ...terminalTransitions,
  ),
  streaming: state(transition('leave', 'moving'), ...terminalTransitions),
  moving: state(transition('move', 'moved'), ...terminalTransitions),
  ended: state(),
  lost: state(),
  moved: state(),
  cancelled: state(),
});

export interface AttemptStateMachine {
  readonly current: AttemptState;
  /** Applies an event; ignores events without a transition. */
  send(event: AttemptStateEvent): void;
}

/**
 * Creates the state machine of an attempt, in state `sent`.
 *
 * @example
 * const stateMachine = createAttemptStateMachine();
 * stateMachine.send('start');
 */
export function createAttemptStateMachine(): AttemptStateMachine {
  const service = interpret(machine, () => {});
  return {
    get current() {
      return service.machine.current as AttemptState;
    },
    send: event => service.send(event),
  };
}
