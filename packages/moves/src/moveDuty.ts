/** Duty `moves`: its holder advances every move and writes its state. */
import {
  disposableStore,
  every,
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
import {activeMove, isStateOf, withStates} from './moveSelection.js';
import {MOVE_STATE_KIND} from './moveFollower.js';
import {isFinal, nextPhase} from './moveMachine.js';

export interface MoveDutyOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly objects: Pick<ObjectStore, 'get' | 'list' | 'put' | 'remove'>;
  readonly configuration: Pick<Configuration, 'list' | 'isReady'>;
  readonly controller: MoveController;
  readonly term: DutyTerm;
  /** Returns whether any endpoint runs the version, so a move may start. */
  hasEndpoints?(service: string, version: string): boolean;
  /** Called with all stored states after each round. */
  onDidAdvance?(states: readonly MoveState[]): void;
}

const ADVANCE_INTERVAL_MS = 1000;

/** Retention of removed moves' states, for operators to read the outcome. */
const ENDED_STATE_RETENTION_MS = 7 * 24 * 3_600_000;

/**
 * Starts the duty for one term; the result is disposed at the term's end.
 *
 * @example
 * dutyElections.compete('moves', term => createMoveDuty({...parts, term}));
 */
export function createMoveDuty(options: MoveDutyOptions): Disposable {
  const {clock, log, objects, configuration, controller, term} = options;
  const store = disposableStore();
  const storedStates = new Map<string, StoredObject<MoveState>>();
  let isLoaded = false;
  let isAdvancing = false;

  async function loadStates() {
    const listing = await objects.list<MoveState>(MOVE_STATE_KIND, term.signal);
    storedStates.clear();
    for (const object of listing.objects) {
      storedStates.set(object.name, object);
    }
    isLoaded = true;
  }

  /**
   * Writes only if the stored state is still the one that was read. Otherwise a
   * holder that was paused beyond its lease could undo a decision of its
   * successor, such as a rollback.
   */
  async function writeState(next: MoveState) {
    if (!term.isValid()) {
      return;
    }
    const storedState = storedStates.get(next.move);
    const previousChangedAt = storedState?.value.changedAt ?? 0;
    // Followers need a higher timestamp; an earlier holder's clock may be fast.
    const value = {
      ...next,
      changedAt: Math.max(next.changedAt, previousChangedAt + 1),
    };
    try {
      const written = await objects.put(
        MOVE_STATE_KIND,
        next.move,
        value,
        storedState === undefined
          ? {type: 'absent'}
          : {type: 'version', version: storedState.version},
        term.signal,
      );
      storedStates.set(next.move, written);
    } catch (error) {
      // On a conflict or an unknown outcome, the stored states are read again.
      if (!isServingError(error, 'platform-unavailable')) {
        isLoaded = false;
      }
      throw error;
    }
  }

  function stateOf(name: string): MoveState | undefined {
    return storedStates.get(name)?.value;
  }

  async function advanceService(moves: readonly Move[]) {
    const movesWithState = withStates(moves, stateOf);
    const active = activeMove(movesWithState);
    for (const {move, state} of movesWithState) {
      if (move === active?.move || state?.phase === 'finished') {
        await advanceMove(move, waitReason(move, state));
      } else if (state === undefined || state.phase === 'waiting') {
        const name = active?.move.name ?? '';
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
        : waitingState(move, state, waitingFor, wallMs);
    if (next !== state) {
      await writeState(next);
    }
  }

  async function endWithdrawnMoves(names: ReadonlySet<string>) {
    for (const object of [...storedStates.values()]) {
      const state = object.value;
      if (names.has(state.move)) {
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
      } else if (clock.wall() - state.changedAt > ENDED_STATE_RETENTION_MS) {
        const condition = {type: 'version', version: object.version} as const;
        await objects.remove(
          MOVE_STATE_KIND,
          object.name,
          condition,
          term.signal,
        );
        storedStates.delete(object.name);
      }
    }
  }

  async function advanceAll() {
    // Without the configuration, every move would look withdrawn.
    if (!configuration.isReady() || !term.isValid()) {
      return;
    }
    if (!isLoaded) {
      await loadStates();
    }
    const moves = configuration.list('move');
    const names = moves.map(move => move.name);
    controller.retainMoves(names);
    for (const service of new Set(moves.map(move => move.service))) {
      await advanceService(moves.filter(move => move.service === service));
    }
    await endWithdrawnMoves(new Set(names));
    options.onDidAdvance?.([...storedStates.values()].map(({value}) => value));
  }

  function startAdvance() {
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

  store.add(every(clock, ADVANCE_INTERVAL_MS, startAdvance));
  startAdvance();
  return store;
}

/** Returns the state of a waiting move; the same object if unchanged. */
function waitingState(
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
