/** State machine of a member as seen by another entry. */
import {createMachine, interpret, state, transition} from 'robot3';
import type {MemberState} from './contracts.js';

/**
 * `seen`: a message from the member arrived. `suspected`: no heartbeat arrived
 * within the silence timeout. `announcedLeaving`: the member announced that it
 * leaves. `declaredGone`: the member announced that it stops, or an entry
 * confirmed that the member is gone. `returned`: a newer update declares the
 * member live, or a new process has started under its id.
 */
export type MemberEvent =
  | 'seen'
  | 'suspected'
  | 'announcedLeaving'
  | 'declaredGone'
  | 'returned';

const memberMachine = createMachine('live', {
  live: state(
    transition('suspected', 'suspect'),
    transition('announcedLeaving', 'leaving'),
    transition('declaredGone', 'gone'),
  ),
  suspect: state(
    transition('seen', 'live'),
    transition('returned', 'live'),
    transition('announcedLeaving', 'leaving'),
    transition('declaredGone', 'gone'),
  ),
  leaving: state(
    transition('returned', 'live'),
    transition('declaredGone', 'gone'),
  ),
  gone: state(
    transition('returned', 'live'),
    transition('announcedLeaving', 'leaving'),
  ),
});

/** State of one member as seen by this entry. */
export interface MemberMachine {
  state(): MemberState;
  send(event: MemberEvent): void;
}

/**
 * Creates the state machine of a member, initially live.
 *
 * @example
 * const machine = createMemberMachine();
 * machine.send('suspected');
 */
export function createMemberMachine(): MemberMachine {
  const interpreter = interpret(memberMachine, () => {});
  return {
    state: () => interpreter.machine.current as MemberState,
    send: event => interpreter.send(event),
  };
}
