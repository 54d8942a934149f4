/** Lifecycle of an entry process as a state machine. */
import {createMachine, interpret, state, transition} from 'robot3';

/**
 * `serving`: accepts requests once it has a configuration. `lingering`: has
 * announced its shutdown to its peers, and still accepts requests of callers
 * that looked up its address before. `leaving`: rejects new requests and drains
 * the requests in flight. `stopped`: final state.
 */
export type LifecycleState = 'serving' | 'lingering' | 'leaving' | 'stopped';

export type LifecycleEvent = 'announce' | 'refuse' | 'close';

const lifecycleMachine = createMachine('serving', {
  serving: state(transition('announce', 'lingering')),
  lingering: state(transition('refuse', 'leaving')),
  leaving: state(transition('close', 'stopped')),
  stopped: state(),
});

export interface ProcessLifecycle {
  state(): LifecycleState;
  /** Applies an event; ignores events without a transition. */
  send(event: LifecycleEvent): void;
}

/**
 * Creates the lifecycle of a process that has just started.
 *
 * @example
 * const lifecycle = createProcessLifecycle();
 * lifecycle.send('announce');
 */
export function createProcessLifecycle(): ProcessLifecycle {
  const interpreter = interpret(lifecycleMachine, () => {});
  return {
    state: () => interpreter.machine.current as LifecycleState,
    send: event => interpreter.send(event),
  };
}
