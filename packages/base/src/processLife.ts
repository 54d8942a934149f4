/** The life of an entry process, in one place: which state follows which. */
import {createMachine, interpret, state, transition} from 'robot3';

/**
 * `serving`: takes requests once it has a configuration. `lingering`: has told
 * its peers that it stops, and still takes requests of callers with an older
 * answer. `leaving`: refuses new requests, ends those in flight. `stopped`.
 */
export type LifeState = 'serving' | 'lingering' | 'leaving' | 'stopped';

export type LifeEvent = 'announce' | 'refuse' | 'close';

const lifeMachine = createMachine('serving', {
  serving: state(transition('announce', 'lingering')),
  lingering: state(transition('refuse', 'leaving')),
  leaving: state(transition('close', 'stopped')),
  stopped: state(),
});

export interface ProcessLife {
  state(): LifeState;
  /** An event that the present state does not know changes nothing. */
  send(event: LifeEvent): void;
}

/**
 * Makes the life of a process that has just started.
 *
 * @example
 * const life = createProcessLife();
 * life.send('announce');
 */
export function createProcessLife(): ProcessLife {
  const service = interpret(lifeMachine, () => {});
  return {
    state: () => service.machine.current as LifeState,
    send: event => service.send(event),
  };
}
