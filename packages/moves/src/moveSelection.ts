/** Selects the active move and the serving version of a service. */
import type {Move} from '@skylarkfield/records';
import type {MoveState} from './contracts.js';
import {isFinal} from './moveMachine.js';

/**
 * Move with its state; the state is undefined if none is known for the versions
 * in the move's record.
 */
export interface MoveWithState {
  readonly move: Move;
  readonly state: MoveState | undefined;
}

/**
 * Pairs moves with their states. A state of other versions than in the move's
 * record is dropped, since it belongs to an earlier version of the record.
 *
 * @example
 * const movesWithState = pairWithStates(moves, name => states.get(name));
 */
export function pairWithStates(
  moves: readonly Move[],
  stateOf: (name: string) => MoveState | undefined,
): MoveWithState[] {
  return moves.map(move => {
    const state = stateOf(move.name);
    return {move, state: isStateOf(state, move) ? state : undefined};
  });
}

/**
 * Returns whether a state belongs to the versions of the move's current record.
 *
 * @example
 * const current = isStateOf(state, move) ? state : undefined;
 */
export function isStateOf(
  state: MoveState | undefined,
  {from, to}: Move,
): state is MoveState {
  return (
    state !== undefined &&
    (state.from ?? from) === from &&
    (state.to ?? to) === to
  );
}

/**
 * Returns the version after all finished moves, starting from the version in
 * the service's record.
 *
 * @example
 * versionAfterMoves('v1', movesWithState); // 'v2' after a move from v1 to v2
 */
export function versionAfterMoves(
  initialVersion: string,
  moves: readonly MoveWithState[],
): string {
  let version = initialVersion;
  // Moves may form a cycle (v1 to v2 and back), so hops are bounded.
  for (let hopCount = 0; hopCount < moves.length; hopCount++) {
    const nextMove = moves.find(
      ({move, state}) => state?.phase === 'finished' && move.from === version,
    );
    if (nextMove === undefined) {
      break;
    }
    version = nextMove.move.to;
  }
  return version;
}

/**
 * Returns the only move of a service that may get traffic: the move that
 * started first or, if none has started, the first by name. Concurrent moves
 * would distort each other's evidence.
 *
 * @example
 * const {move, state} = selectActiveMove(movesWithState) ?? {};
 */
export function selectActiveMove(
  moves: readonly MoveWithState[],
): MoveWithState | undefined {
  return moves
    .filter(({state}) => state === undefined || !isFinal(state.phase))
    .sort(
      (a, b) =>
        (a.state?.startedAt ?? Infinity) - (b.state?.startedAt ?? Infinity) ||
        (a.move.name < b.move.name ? -1 : 1),
    )
    .at(0);
}
