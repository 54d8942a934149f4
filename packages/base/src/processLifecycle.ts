/** Lifecycle of an entry process as a state machine. */
import {createMachine, interpret, state, transition} from 'robot3';
import {createEmitter, type Event} from './events.js';

/**
 * `serving`: accepts requests once it has a configuration. `lingering`: has
 * announced its shutdown to its peers, and still accepts requests of callers
 * that looked up its address before. `leaving`: rejects new requests and drains
 * the requests in flight. `stopped`: ends the remaining requests with an error.
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
  /** Fires after each change of the state. */
  readonly onDidChange: Event<LifecycleState>;
  /** Sets when the process will be stopped, in monotonic milliseconds. */
  setStopTime(stopsAt: number): void;
  /**
   * Whether work may begin that has to end by a deadline, in monotonic
   * milliseconds: while the process drains, only if it stops no earlier.
   */
  mayBegin(deadlineAt: number): boolean;
}

/** Whether work may begin in each state. */
const mayBeginByState: Readonly<
  Record<LifecycleState, (deadlineAt: number, stopsAt: number) => boolean>
> = {
  serving: () => true,
  lingering: () => true,
  leaving: (deadlineAt, stopsAt) => deadlineAt <= stopsAt,
  stopped: () => false,
};

/**
 * Creates the lifecycle of a process that has just started.
 *
 * @example
 * const lifecycle = createProcessLifecycle();
 * lifecycle.send('announce');
 */
export function createProcessLifecycle(): ProcessLifecycle {
  const changeEmitter = createEmitter<LifecycleState>();
  const interpreter = interpret(lifecycleMachine, () =>
    changeEmitter.fire(currentState()),
  );
  let stopsAt = Infinity;

  function currentState(): LifecycleState {
    return interpreter.machine.current as LifecycleState;
  }

  return {
    state: currentState,
    send: event => interpreter.send(event),
    onDidChange: changeEmitter.event,
    setStopTime: time => (stopsAt = time),
    mayBegin: deadlineAt =>
      mayBeginByState[currentState()](deadlineAt, stopsAt),
  };
}
