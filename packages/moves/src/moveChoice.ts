/** Which move of a service is under way, and which version serves beside it. */
import type {Move} from '@skylarkfield/records';
import type {MoveState} from './contracts.js';
import {isFinal} from './moveMachine.js';

/** A move with its state, if it has one that is about the same versions. */
export interface StatedMove {
  readonly move: Move;
  readonly state: MoveState | undefined;
}

/**
 * Pairs moves with states; a state about other versions belongs to an older form of the record.
 *
 * @example
 * const stated = withStates(moves, name => states.get(name));
 */
export function withStates(
  moves: readonly Move[],
  stateOf: (name: string) => MoveState | undefined,
): StatedMove[] {
  return moves.map(move => {
    const state = stateOf(move.name);
    return {move, state: isAbout(state, move) ? state : undefined};
  });
}

/**
 * Whether a state is about the move as its record is now.
 *
 * @example
 * const current = isAbout(state, move) ? state : undefined;
 */
export function isAbout(
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
 * The version that serves after all finished moves, starting from the service's record.
 *
 * @example
 * versionAfterMoves('v1', stated); // 'v2' once the move from v1 to v2 is finished
 */
export function versionAfterMoves(
  incumbent: string,
  moves: readonly StatedMove[],
): string {
  let version = incumbent;
  // Moves back and forth could lead in a circle; each is followed at most once.
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
 * The one move of a service that may get traffic: the one that started first,
 * else the first by name. Two at once would each be judged on traffic that the
 * other disturbs.
 *
 * @example
 * const {move, state} = activeMove(stated) ?? {};
 */
export function activeMove(
  moves: readonly StatedMove[],
): StatedMove | undefined {
  return moves
    .filter(({state}) => state === undefined || !isFinal(state.phase))
    .sort(
      (a, b) =>
        (a.state?.startedAt ?? Infinity) - (b.state?.startedAt ?? Infinity) ||
        (a.move.name < b.move.name ? -1 : 1),
    )
    .at(0);
}
