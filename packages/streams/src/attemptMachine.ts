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
  /** The engine has sent its end event. */
  | 'ended'
  /** The attempt failed; the request may be retried. */
  | 'lost'
  /** The stream continues at another endpoint. */
  | 'moved'
  /**
   * The caller aborted the request, a deadline passed, or another attempt has
   * sent the next event.
   */
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

const attemptMachine = createMachine('sent', {
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
  /** Applies an event; has no effect if the current state does not allow it. */
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
  const interpreter = interpret(attemptMachine, () => {});
  return {
    get current() {
      return interpreter.machine.current as AttemptState;
    },
    send: event => interpreter.send(event),
  };
}
