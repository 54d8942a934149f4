/** The phases of a version move and the events that change them, in one place. */
import {createMachine, interpret, state, transition} from 'robot3';
import type {MovePhase} from './contracts.js';

export type MoveEvent =
  | 'start'
  | 'prove'
  | 'doubt'
  | 'finish'
  | 'takeBack'
  | 'withdraw';

const phases = {
  waiting: state(
    transition('start', 'proving'),
    transition('takeBack', 'taken-back'),
    transition('withdraw', 'withdrawn'),
  ),
  proving: state(
    transition('prove', 'soaking'),
    transition('takeBack', 'taken-back'),
    transition('withdraw', 'withdrawn'),
  ),
  soaking: state(
    transition('doubt', 'proving'),
    transition('finish', 'finished'),
    transition('takeBack', 'taken-back'),
    transition('withdraw', 'withdrawn'),
  ),
  // The old version is kept ready until the deadline, so a fault that an entry
  // saw just before the end can still be acted on.
  finished: state(transition('takeBack', 'taken-back')),
  // Final: a version that was bad once never gets traffic by the same move again.
  'taken-back': state(),
  withdrawn: state(transition('start', 'proving')),
};

/**
 * The phase after an event; the same phase when the event changes nothing in it.
 *
 * @example
 * nextPhase('proving', 'takeBack'); // 'taken-back'
 */
export function nextPhase(phase: MovePhase, event: MoveEvent): MovePhase {
  const service = interpret(createMachine(phase, phases), () => undefined);
  service.send(event as never);
  return service.machine.current as MovePhase;
}

/**
 * Whether nothing more happens to a move of this phase by itself.
 *
 * @example
 * isFinal('taken-back'); // true
 */
export function isFinal(phase: MovePhase): boolean {
  return (
    phase === 'finished' || phase === 'taken-back' || phase === 'withdrawn'
  );
}
