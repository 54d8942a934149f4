/** State machine of a member as seen by another entry. */
import {createMachine, interpret, state, transition} from 'robot3';
import type {MemberState} from './contracts.js';

/**
 * `heard`: a message arrived. `suspected`: no heartbeat within the timeout.
 * `left`: the member announced that it leaves. `lost`: it announced its end, or
 * a suspicion was confirmed. `returned`: newer update of it or a new process.
 */
export type MemberEvent = 'heard' | 'suspected' | 'left' | 'lost' | 'returned';

const memberMachine = createMachine('live', {
  live: state(
    transition('suspected', 'suspect'),
    transition('left', 'leaving'),
    transition('lost', 'gone'),
  ),
  suspect: state(
    transition('heard', 'live'),
    transition('returned', 'live'),
    transition('left', 'leaving'),
    transition('lost', 'gone'),
  ),
  leaving: state(transition('returned', 'live'), transition('lost', 'gone')),
  gone: state(transition('returned', 'live'), transition('left', 'leaving')),
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
  const service = interpret(memberMachine, () => {});
  return {
    state: () => service.machine.current as MemberState,
    send: event => service.send(event),
  };
}
