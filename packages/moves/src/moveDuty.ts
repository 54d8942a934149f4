/** What the holder of the duty `moves` does: advances every move and writes its state. */
import {
  disposableStore,
  every,
  isServingError,
  toServingError,
  type Clock,
  type Disposable,
  type Logger,
} from '@skylarkfield/base';
import type {Tenure} from '@skylarkfield/duties';
import type {ObjectStore, StoredObject} from '@skylarkfield/providers';
import type {Configuration, Move} from '@skylarkfield/records';
import type {MoveJudge, MoveState} from './contracts.js';
import {activeMove, isAbout, withStates} from './moveChoice.js';
import {MOVE_STATE_KIND} from './moveFollower.js';
import {isFinal, nextPhase} from './moveMachine.js';

export interface MoveDutyOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly objects: Pick<ObjectStore, 'get' | 'list' | 'put' | 'remove'>;
  readonly configuration: Pick<Configuration, 'list' | 'isReady'>;
  readonly judge: MoveJudge;
  readonly tenure: Tenure;
  /** Whether any endpoint runs the version; a move does not start before. */
  hasEndpoints?(service: string, version: string): boolean;
  /** All states as they stand in the store, after each look at the moves. */
  onDidAdvance?(states: readonly MoveState[]): void;
}

const ADVANCE_INTERVAL_MS = 1000;

/** States of moves whose records are gone are kept this long, so that operators can read the end. */
const KEEP_ENDED_MS = 7 * 24 * 3_600_000;

/**
 * Starts the duty for one tenure; disposed at its end.
 *
 * @example
 * duties.compete('moves', tenure => createMoveDuty({...parts, tenure}));
 */
export function createMoveDuty(options: MoveDutyOptions): Disposable {
  const {clock, log, objects, configuration, judge, tenure} = options;
  const store = disposableStore();
  const stored = new Map<string, StoredObject<MoveState>>();
  let isListed = false;
  let isBusy = false;

  async function list() {
    const listing = await objects.list<MoveState>(
      MOVE_STATE_KIND,
      tenure.signal,
    );
    stored.clear();
    for (const object of listing.objects) {
      stored.set(object.name, object);
    }
    isListed = true;
  }

  /**
   * Writes on the condition that the state is still the one that was read. A
   * holder that was paused beyond its lease would else undo what the next one
   * decided, such as a move that was taken back.
   */
  async function write(next: MoveState) {
    if (!tenure.isValid()) {
      return;
    }
    const known = stored.get(next.move);
    const before = known?.value.changedAt ?? 0;
    // Followers take the higher one; a holder whose wall clock is behind its predecessor's must not write a lower one.
    const value = {...next, changedAt: Math.max(next.changedAt, before + 1)};
    try {
      const written = await objects.put(
        MOVE_STATE_KIND,
        next.move,
        value,
        known === undefined
          ? {type: 'absent'}
          : {type: 'version', version: known.version},
        tenure.signal,
      );
      stored.set(next.move, written);
    } catch (error) {
      // Whoever wrote in between, and whatever became of a write without reply: it is read again.
      if (!isServingError(error, 'platform-unavailable')) {
        isListed = false;
      }
      throw error;
    }
  }

  function stateOf(name: string): MoveState | undefined {
    return stored.get(name)?.value;
  }

  async function advanceService(moves: readonly Move[]) {
    const stated = withStates(moves, stateOf);
    const active = activeMove(stated);
    for (const {move, state} of stated) {
      if (move === active?.move || state?.phase === 'finished') {
        await advanceMove(move, reasonToWait(move, state));
      } else if (state === undefined || state.phase === 'waiting') {
        const name = active?.move.name ?? '';
        await advanceMove(
          move,
          `waits for the move ${name} of the same service`,
        );
      }
    }
  }

  function reasonToWait(
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

  async function advanceMove(move: Move, wait: string | undefined) {
    const state = stateOf(move.name);
    const wallMs = clock.wall();
    const next =
      wait === undefined
        ? judge.advance(move, state, wallMs)
        : waitingState(move, state, wait, wallMs);
    if (next !== state) {
      await write(next);
    }
  }

  async function endWithdrawn(names: ReadonlySet<string>) {
    for (const object of [...stored.values()]) {
      const state = object.value;
      if (names.has(state.move)) {
        continue;
      }
      if (!isFinal(state.phase)) {
        await write({
          ...state,
          phase: nextPhase(state.phase, 'withdraw'),
          share: 0,
          orderShare: 0,
          why: 'the operator withdrew the move',
          changedAt: clock.wall(),
        });
      } else if (clock.wall() - state.changedAt > KEEP_ENDED_MS) {
        const condition = {type: 'version', version: object.version} as const;
        await objects.remove(
          MOVE_STATE_KIND,
          object.name,
          condition,
          tenure.signal,
        );
        stored.delete(object.name);
      }
    }
  }

  async function advanceAll() {
    // Without the configuration every move would look withdrawn.
    if (!configuration.isReady() || !tenure.isValid()) {
      return;
    }
    if (!isListed) {
      await list();
    }
    const moves = configuration.list('move');
    const names = moves.map(move => move.name);
    judge.keepOnly(names);
    for (const service of new Set(moves.map(move => move.service))) {
      await advanceService(moves.filter(move => move.service === service));
    }
    await endWithdrawn(new Set(names));
    options.onDidAdvance?.([...stored.values()].map(({value}) => value));
  }

  function tick() {
    if (isBusy) {
      return;
    }
    isBusy = true;
    advanceAll()
      .catch((error: unknown) => {
        const {kind, message} = toServingError(error);
        log.warn({kind, message}, 'move states could not be written');
      })
      .finally(() => (isBusy = false));
  }

  store.add(every(clock, ADVANCE_INTERVAL_MS, tick));
  tick();
  return store;
}

/** The state of a move that has to wait; the same object when nothing changed. */
function waitingState(
  move: Move,
  state: MoveState | undefined,
  why: string,
  wallMs: number,
): MoveState {
  const isLate = wallMs >= move.deadline;
  const phase = isLate ? 'taken-back' : 'waiting';
  if (isAbout(state, move) && state.phase === phase && state.why === why) {
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
