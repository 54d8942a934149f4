/** Duty `moves`: its holder advances every move and stores its state. */
import {
  createDisposableStore,
  scheduleRepeatedly,
  isServingError,
  toServingError,
  type Clock,
  type Disposable,
  type Logger,
} from '@skylarkfield/base';
import type {DutyTerm} from '@skylarkfield/duties';
import type {ObjectStore, StoredObject} from '@skylarkfield/providers';
import type {Configuration, Move} from '@skylarkfield/records';
import type {MoveController, MoveState} from './contracts.js';
import {outranks, type KnownStates} from './knownStates.js';
import {selectActiveMove, isStateOf, pairWithStates} from './moveSelection.js';
import {MOVE_STATE_KIND} from './moveFollower.js';
import {isFinal, nextPhase} from './moveMachine.js';

export interface MoveDutyOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly objects: Pick<ObjectStore, 'get' | 'list' | 'put' | 'remove'>;
  readonly configuration: Pick<Configuration, 'list' | 'isReady'>;
  readonly controller: MoveController;
  /**
   * States that this entry knows. Those that the store has lost are stored
   * again.
   */
  readonly knownStates: KnownStates;
  readonly term: DutyTerm;
  /**
   * Returns whether any endpoint runs the version. A move to a version without
   * endpoints does not start.
   */
  hasEndpoints?(service: string, version: string): boolean;
  /** Called with the stored states of all moves after each round. */
  onDidAdvance?(states: readonly MoveState[]): void;
}

const ADVANCE_INTERVAL_MS = 1000;

/**
 * Time for which the final state of a removed move is kept, so that operators
 * can read the outcome.
 */
const FINAL_STATE_RETENTION_MS = 7 * 24 * 3_600_000;

/** Maximum number of lost states that are stored again in one round. */
const MAX_RESTORED_PER_ROUND = 10;

/**
 * Starts the duty for one term; the caller disposes the result at the term's
 * end.
 *
 * @example
 * dutyElections.compete('moves', term => createMoveDuty({...parts, term}));
 */
export function createMoveDuty(options: MoveDutyOptions): Disposable {
  const {clock, log, objects, configuration, controller, term} = options;
  const {knownStates} = options;
  const disposables = createDisposableStore();
  const storedStates = new Map<string, StoredObject<MoveState>>();
  let areStatesLoaded = false;
  let isAdvancing = false;

  async function loadStates() {
    // A loss that is found while the call runs requires another listing.
    areStatesLoaded = true;
    const listing = await objects
      .list<MoveState>(MOVE_STATE_KIND, term.signal)
      .catch((error: unknown) => {
        areStatesLoaded = false;
        throw error;
      });
    storedStates.clear();
    for (const object of listing.objects) {
      storedStates.set(object.name, object);
    }
    knownStates.record(listing.objects.map(({value}) => value));
  }

  /**
   * Stores states again that the store lost. Decisions that are not final are
   * kept only for moves that still exist.
   */
  async function restoreLostStates(currentMoveNames: ReadonlySet<string>) {
    const lostStates = knownStates
      .list()
      .filter(
        state =>
          outranks(state, storedStates.get(state.move)?.value) &&
          (isFinal(state.phase) || currentMoveNames.has(state.move)) &&
          !isExpired(state, clock.wall()),
      )
      .slice(0, MAX_RESTORED_PER_ROUND);
    for (const state of lostStates) {
      if (!term.isValid()) {
        return;
      }
      await writeState(state);
      log.info({move: state.move, phase: state.phase}, 'move state restored');
    }
  }

  /**
   * Writes a state only if the stored state is unchanged since it was read.
   * With unconditional writes, a holder that was paused beyond its lease could
   * undo a decision of its successor, such as a rollback.
   */
  async function writeState(nextState: MoveState) {
    if (!term.isValid()) {
      return;
    }
    const storedObject = storedStates.get(nextState.move);
    const previousChangedAt = storedObject?.value.changedAt ?? 0;
    // Followers ignore states without a higher timestamp, and the clock of an
    // earlier holder may have been ahead of this one.
    const value = {
      ...nextState,
      changedAt: Math.max(nextState.changedAt, previousChangedAt + 1),
    };
    try {
      const writtenObject = await objects.put(
        MOVE_STATE_KIND,
        nextState.move,
        value,
        storedObject === undefined
          ? {type: 'absent'}
          : {type: 'version', version: storedObject.version},
        term.signal,
      );
      storedStates.set(nextState.move, writtenObject);
      knownStates.record([writtenObject.value]);
    } catch (error) {
      // After a conflict or an unknown outcome, the stored states are read
      // again.
      if (!isServingError(error, 'platform-unavailable')) {
        areStatesLoaded = false;
      }
      throw error;
    }
  }

  function stateOf(name: string): MoveState | undefined {
    return knownStates.get(name);
  }

  async function advanceService(moves: readonly Move[]) {
    const movesWithState = pairWithStates(moves, stateOf);
    const activeMove = selectActiveMove(movesWithState);
    for (const {move, state} of movesWithState) {
      if (move === activeMove?.move || state?.phase === 'finished') {
        await advanceMove(move, waitReason(move, state));
      } else if (state === undefined || state.phase === 'waiting') {
        const name = activeMove?.move.name ?? '';
        await advanceMove(
          move,
          `waiting for the move ${name} of the same service`,
        );
      }
    }
  }

  function waitReason(
    move: Move,
    state: MoveState | undefined,
  ): string | undefined {
    const hasStarted = state !== undefined && state.phase !== 'waiting';
    if (hasStarted || options.hasEndpoints === undefined) {
      return undefined;
    }
    return options.hasEndpoints(move.service, move.to)
      ? undefined
      : `no endpoint runs ${move.to} yet`;
  }

  async function advanceMove(move: Move, waitingFor: string | undefined) {
    const state = stateOf(move.name);
    const wallMs = clock.wall();
    const next =
      waitingFor === undefined
        ? controller.advance(move, state, wallMs)
        : createWaitingState(move, state, waitingFor, wallMs);
    if (next !== state) {
      await writeState(next);
    }
  }

  /**
   * Sets moves without a record to `withdrawn`, and deletes the final states of
   * such moves after `FINAL_STATE_RETENTION_MS`.
   */
  async function endWithdrawnMoves(currentMoveNames: ReadonlySet<string>) {
    for (const object of [...storedStates.values()]) {
      const state = stateOf(object.name) ?? object.value;
      if (currentMoveNames.has(state.move)) {
        continue;
      }
      if (!isFinal(state.phase)) {
        await writeState({
          ...state,
          phase: nextPhase(state.phase, 'withdraw'),
          share: 0,
          orderShare: 0,
          why: 'the operator withdrew the move',
          changedAt: clock.wall(),
        });
      } else if (isExpired(state, clock.wall())) {
        const condition = {type: 'version', version: object.version} as const;
        await objects.remove(
          MOVE_STATE_KIND,
          object.name,
          condition,
          term.signal,
        );
        storedStates.delete(object.name);
        knownStates.remove(object.name);
      }
    }
  }

  async function advanceAll() {
    // Without the configuration, every move would look withdrawn.
    if (!configuration.isReady() || !term.isValid()) {
      return;
    }
    if (!areStatesLoaded) {
      await loadStates();
    }
    const moves = configuration.list('move');
    const moveNames = moves.map(move => move.name);
    controller.retainMoves(moveNames);
    await restoreLostStates(new Set(moveNames));
    for (const service of new Set(moves.map(move => move.service))) {
      await advanceService(moves.filter(move => move.service === service));
    }
    await endWithdrawnMoves(new Set(moveNames));
    options.onDidAdvance?.([...storedStates.values()].map(({value}) => value));
  }

  function startRound() {
    if (isAdvancing) {
      return;
    }
    isAdvancing = true;
    advanceAll()
      .catch((error: unknown) => {
        const {kind, message} = toServingError(error);
        log.warn({kind, message}, 'failed to update move states');
      })
      .finally(() => (isAdvancing = false));
  }

  disposables.add(
    knownStates.onDidFindLost(() => {
      areStatesLoaded = false;
    }),
  );
  disposables.add(scheduleRepeatedly(clock, ADVANCE_INTERVAL_MS, startRound));
  startRound();
  return disposables;
}

/** Returns whether the final state of a removed move may be deleted. */
function isExpired(state: MoveState, wallMs: number): boolean {
  return wallMs - state.changedAt > FINAL_STATE_RETENTION_MS;
}

/**
 * Returns the state of a move that has to wait, rolled back once its deadline
 * has passed; returns `state` itself if phase and reason are unchanged.
 */
function createWaitingState(
  move: Move,
  state: MoveState | undefined,
  why: string,
  wallMs: number,
): MoveState {
  const isPastDeadline = wallMs >= move.deadline;
  const phase = isPastDeadline ? 'taken-back' : 'waiting';
  if (isStateOf(state, move) && state.phase === phase && state.why === why) {
    return state;
  }
  return {
    move: move.name,
    phase,
    share: 0,
    orderShare: 0,
    why,
    confidence: 0,
    changedAt: wallMs,
    from: move.from,
    to: move.to,
  };
}
