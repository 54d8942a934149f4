/** Selects the active move of a service and its serving version. */
import type {Move} from '@skylarkfield/records';
import type {MoveState} from './contracts.js';
import {isFinal} from './moveMachine.js';

/** Move with its state; undefined when there is none for the same versions. */
export interface MoveWithState {
  readonly move: Move;
  readonly state: MoveState | undefined;
}

/**
 * Pairs moves with their states. States of other versions are dropped, since
 * they belong to an earlier version of the move's record.
 *
 * @example
 * const movesWithState = withStates(moves, name => states.get(name));
 */
export function withStates(
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
  for (let hops = 0; hops < moves.length; hops++) {
    const next = moves.find(
      ({move, state}) => state?.phase === 'finished' && move.from === version,
    );
    if (next === undefined) {
      break;
    }
    version = next.move.to;
  }
  return version;
}

/**
 * Returns the only move of a service that may get traffic: the one that started
 * first, otherwise the first by name. Concurrent moves would distort each
 * other's evidence.
 *
 * @example
 * const {move, state} = activeMove(movesWithState) ?? {};
 */
export function activeMove(
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
