/**
 * Newest states of moves that an entry knows, also those that the store no
 * longer has after it was restored from a copy.
 */
import {createEmitter, type Event} from '@skylarkfield/base';
import type {MovePhase, MoveState} from './contracts.js';

/** Newest known state of each move; shared by the parts of one entry. */
export interface KnownStates {
  /** Returns the newest known state of a move. */
  get(move: string): MoveState | undefined;
  list(): readonly MoveState[];
  /** Records states; returns those that outrank the state known before. */
  record(states: readonly MoveState[]): readonly MoveState[];
  /**
   * Records all states that the store has; returns the known states that it
   * lacks or has only in an earlier form.
   */
  recordListing(storedStates: readonly MoveState[]): readonly MoveState[];
  remove(move: string): void;
  /** Fires when a listing of the store lacks known states. */
  readonly onDidFindLost: Event<void>;
}

/**
 * Phases that no event undoes have a higher rank than those before. A state
 * that was lost with the store's last changes may be older than one that was
 * written since, by an entry that did not know it.
 */
const rankByPhase: Readonly<Record<MovePhase, number>> = {
  waiting: 0,
  proving: 0,
  soaking: 0,
  withdrawn: 0,
  finished: 1,
  'taken-back': 2,
};

/**
 * Creates an empty collection of states.
 *
 * @example
 * const knownStates = createKnownStates();
 * createMoveFollower({knownStates, ...rest});
 */
export function createKnownStates(): KnownStates {
  const states = new Map<string, MoveState>();
  const lostEmitter = createEmitter<void>();

  function record(receivedStates: readonly MoveState[]): MoveState[] {
    const newerStates = receivedStates.filter(state =>
      outranks(state, states.get(state.move)),
    );
    for (const state of newerStates) {
      states.set(state.move, state);
    }
    return newerStates;
  }

  return {
    get: move => states.get(move),
    list: () => [...states.values()],
    record,
    recordListing(storedStates) {
      record(storedStates);
      const storedByMove = new Map(
        storedStates.map(state => [state.move, state]),
      );
      const lostStates = [...states.values()].filter(state =>
        outranks(state, storedByMove.get(state.move)),
      );
      if (lostStates.length > 0) {
        lostEmitter.fire();
      }
      return lostStates;
    },
    remove: move => void states.delete(move),
    onDidFindLost: lostEmitter.event,
  };
}

/**
 * Returns whether a state replaces another one of the same move: it is of a
 * more final phase of the same versions, or else was changed later.
 *
 * @example
 * outranks(rolledBackState, provingState); // true
 */
export function outranks(
  state: MoveState,
  other: MoveState | undefined,
): boolean {
  if (other === undefined) {
    return true;
  }
  const rankDifference = hasSameVersions(state, other)
    ? rankByPhase[state.phase] - rankByPhase[other.phase]
    : 0;
  return rankDifference === 0
    ? state.changedAt > other.changedAt
    : rankDifference > 0;
}

function hasSameVersions(state: MoveState, other: MoveState): boolean {
  return (
    (state.from ?? other.from) === (other.from ?? state.from) &&
    (state.to ?? other.to) === (other.to ?? state.to)
  );
}
