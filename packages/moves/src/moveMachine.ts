/**
 * State machine of a version move: its phases and the events that change them.
 */
import {createMachine, interpret, state, transition} from 'robot3';
import type {MovePhase} from './contracts.js';

export type MoveEvent =
  | 'start'
  | 'startSoak'
  | 'endSoak'
  | 'finish'
  | 'rollBack'
  | 'withdraw';

const phases = {
  waiting: state(
    transition('start', 'proving'),
    transition('rollBack', 'taken-back'),
    transition('withdraw', 'withdrawn'),
  ),
  proving: state(
    transition('startSoak', 'soaking'),
    transition('rollBack', 'taken-back'),
    transition('withdraw', 'withdrawn'),
  ),
  soaking: state(
    transition('endSoak', 'proving'),
    transition('finish', 'finished'),
    transition('rollBack', 'taken-back'),
    transition('withdraw', 'withdrawn'),
  ),
  // The old version stays available until the deadline, so a fault detected
  // shortly before the move finished can still roll it back.
  finished: state(transition('rollBack', 'taken-back')),
  // `taken-back` is final: a rolled-back version never gets traffic by the same
  // move again.
  'taken-back': state(),
  withdrawn: state(transition('start', 'proving')),
};

/**
 * Returns the phase after an event; `phase` itself if it has no transition for
 * the event.
 *
 * @example
 * nextPhase('proving', 'rollBack'); // 'taken-back'
 */
export function nextPhase(phase: MovePhase, event: MoveEvent): MovePhase {
  const interpreter = interpret(createMachine(phase, phases), () => undefined);
  interpreter.send(event as never);
  return interpreter.machine.current as MovePhase;
}

/**
 * Returns whether a phase is final. Only a cut or the operator can still change
 * a final phase.
 *
 * @example
 * isFinal('taken-back'); // true
 */
export function isFinal(phase: MovePhase): boolean {
  return (
    phase === 'finished' || phase === 'taken-back' || phase === 'withdrawn'
  );
}
