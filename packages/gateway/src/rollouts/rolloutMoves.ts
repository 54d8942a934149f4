/** Represents rollouts as traffic moves between two version groups. */
import {createEmitter, type Clock, type Event} from '@skylarkfield/base';
import type {MoveState} from '@skylarkfield/moves';
import type {Configuration, Move} from '@skylarkfield/records';
import {
  currentRolloutState,
  isSettled,
  type Rollout,
  type RolloutState,
} from '@skylarkfield/traffic';
import type {VersionGroup} from '../endpoints/endpointDirectory.js';
import type {Mirror} from '../mirrors/mirror.js';
import {listRetainedRollouts} from '../mirrors/retainedRollouts.js';

/** The part of the configuration API that the move components use. */
export type MoveRecords = Pick<
  Configuration,
  'list' | 'isReady' | 'onDidChange'
>;

/** A rollout state to publish to the operator. */
export interface RolloutStateUpdate {
  /** Name of the rollout object. */
  readonly name: string;
  readonly target: string;
  readonly state: RolloutState;
}

export interface RolloutMoves {
  /** Open rollouts in the form of move records. */
  readonly moveRecords: MoveRecords;
  /** Whether any rollout is in progress. */
  hasOpenRollouts(): boolean;
  /** Whether a rollout of the service is in progress. */
  isRollingOut(service: string): boolean;
  /**
   * Records when moves started according to their persisted states; of several
   * starts of one move, the earliest is kept.
   */
  recordStates(states: readonly MoveState[]): void;
  /**
   * Returns the rollout states to publish: those that differ from the mirror, or
   * that the store lost when it was restored from a copy.
   */
  unpublishedUpdates(
    states: readonly MoveState[],
  ): readonly RolloutStateUpdate[];
  /** Fires when the mirrored rollouts have changed. */
  readonly onDidChange: Event<void>;
}

/** Version groups between which a rollout moves traffic. */
const SOURCE_GROUP: VersionGroup = 'incumbent';
const TARGET_GROUP: VersionGroup = 'candidate';

/**
 * Maximum fraction of requests that are sent to a version before it has been
 * proven; operators allow a tenth plus a few requests.
 */
const MAX_UNPROVEN_SHARE = 0.08;

/**
 * Time before the deadline of a rollout from which the rollout may be reported
 * as `done`, in milliseconds. Once a rollout is done, the old endpoints are
 * terminated with their requests, so this is long after all traffic has moved,
 * yet leaves time to retry the call.
 */
const DONE_MARGIN_MS = 1_000;

const rolloutStateByPhase: Readonly<Record<MoveState['phase'], RolloutState>> =
  {
    waiting: 'running',
    proving: 'running',
    soaking: 'running',
    finished: 'done',
    'taken-back': 'rolled-back',
    withdrawn: 'rolled-back',
  };

/**
 * Creates the moves that represent the mirrored rollouts.
 *
 * @example
 * const moves = createRolloutMoves(view.rollouts, clock);
 * createMoveDuty({configuration: moves.moveRecords, ...rest});
 */
export function createRolloutMoves(
  mirror: Mirror<Rollout>,
  clock: Clock,
): RolloutMoves {
  const changeEmitter = createEmitter<void>();
  /** Earliest known start of each move, in wall-clock milliseconds. */
  const startWallMsByMove = new Map<string, number>();

  function openRollouts(): {name: string; rollout: Rollout}[] {
    return mirror
      .items()
      .map(({name, value}) => ({name, rollout: value}))
      .filter(({rollout}) => !isSettled(rollout));
  }

  function toMove(name: string, {service, target, periodMs}: Rollout): Move {
    const moveId = moveIdOf(name, target);
    return {
      name: moveId,
      service,
      from: SOURCE_GROUP,
      to: TARGET_GROUP,
      deadline: (startWallMsByMove.get(moveId) ?? clock.wall()) + periodMs,
      maxUnprovenShare: MAX_UNPROVEN_SHARE,
    };
  }

  function recordStarts(): void {
    for (const {name, rollout} of openRollouts()) {
      const moveId = moveIdOf(name, rollout.target);
      startWallMsByMove.set(
        moveId,
        startWallMsByMove.get(moveId) ?? clock.wall(),
      );
    }
    changeEmitter.fire();
  }

  function openMoves(): Move[] {
    return openRollouts().map(({name, rollout}) => toMove(name, rollout));
  }

  /**
   * Returns the rollout state to report for a move: a finished move remains
   * `running` until shortly before its deadline.
   */
  function stateToReport(rollout: Rollout, state: MoveState, move: Move) {
    const newState = rolloutStateByPhase[state.phase];
    const isEarly = clock.wall() < move.deadline - DONE_MARGIN_MS;
    return newState === 'done' && isEarly ? 'running' : newState;
  }

  mirror.onDidChange(recordStarts);
  recordStarts();
  return {
    moveRecords: {
      // The gateway has no records of other kinds.
      list: kind => (kind === 'move' ? (openMoves() as never[]) : []),
      isReady: () => mirror.isLoaded(),
      onDidChange: listener =>
        changeEmitter.event(() => listener('move', 'rollouts')),
    },
    hasOpenRollouts: () => openRollouts().length > 0,
    isRollingOut: service =>
      openRollouts().some(({rollout}) => rollout.service === service),
    recordStates(states) {
      for (const {move, startedAt = Infinity} of states) {
        const earliestStart = startWallMsByMove.get(move) ?? Infinity;
        if (startedAt < earliestStart) {
          startWallMsByMove.set(move, startedAt);
        }
      }
    },
    unpublishedUpdates(states) {
      const retainedRollouts = listRetainedRollouts(mirror);
      return openRollouts().flatMap(({name, rollout}) => {
        const retained = retainedRollouts.find(item => item.name === name);
        const move = toMove(name, rollout);
        const state = states.find(
          ({move: moveInState}) => moveInState === move.name,
        );
        if (state === undefined || retained?.isOrderStored === false) {
          return [];
        }
        const {target} = rollout;
        const newState = stateToReport(rollout, state, move);
        const isWritten =
          currentRolloutState(rollout) === newState && retained === undefined;
        return isWritten ? [] : [{name, target, state: newState}];
      });
    },
    onDidChange: changeEmitter.event,
  };
}

/**
 * Returns the id of a move. It includes the target version, since each target
 * is a separate move with its own evidence.
 */
function moveIdOf(name: string, target: string): string {
  return `${name}.${target}`;
}
