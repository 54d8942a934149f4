/** The states of one member as another entry sees it, and every change between them. */
import {createMachine, interpret, state, transition} from 'robot3';
import type {MemberState} from './contracts.js';

/**
 * `heard`: proof of life. `suspected`: silent for too long. `left`: it said it
 * leaves. `lost`: silent and confirmed by another's word, or it announced its end.
 * `returned`: later news from itself, or a new incarnation.
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

/** The state of one member, as this entry sees it. */
export interface MemberMachine {
  state(): MemberState;
  send(event: MemberEvent): void;
}

/**
 * Makes the machine of a member that is live at first.
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
