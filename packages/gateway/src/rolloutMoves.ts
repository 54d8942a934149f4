/** Represents rollouts as traffic moves between two version groups. */
import {emitter, type Clock, type Event} from '@skylarkfield/base';
import type {MoveState} from '@skylarkfield/moves';
import type {Configuration, Move} from '@skylarkfield/records';
import {
  currentRolloutState,
  type Rollout,
  type RolloutState,
} from '@skylarkfield/traffic';
import type {VersionGroup} from './endpointDirectory.js';
import type {Mirror} from './mirror.js';

/** The part of the records API that the move components use. */
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
  readonly records: MoveRecords;
  /** Whether any rollout is in progress. */
  hasOpen(): boolean;
  /** Whether a rollout of the service is in progress. */
  isOpen(service: string): boolean;
  /** Applies durable states; the earliest known start of a move counts. */
  recordStates(states: readonly MoveState[]): void;
  /** Returns the rollout states to publish, derived from the durable states. */
  pendingUpdates(states: readonly MoveState[]): readonly RolloutStateUpdate[];
  /** Fires when a rollout was created, changed or settled. */
  readonly onDidChange: Event<void>;
}

/** Version groups between which traffic moves. */
const FROM_GROUP: VersionGroup = 'incumbent';
const TO_GROUP: VersionGroup = 'candidate';

/**
 * Maximum fraction of requests for an unproven version; operators allow a tenth
 * plus a few requests.
 */
const MAX_UNPROVEN_SHARE = 0.08;

/**
 * Time before the deadline at which a rollout is reported done, in
 * milliseconds. The old endpoints are then terminated with their requests, so
 * this is long after traffic has moved, with time to retry the call.
 */
const DONE_MARGIN_MS = 1_000;

/** Terminal states of a rollout. */
const SETTLED_STATES: ReadonlySet<RolloutState | undefined> = new Set([
  'done',
  'rolled-back',
]);

const rolloutStates: Readonly<Record<MoveState['phase'], RolloutState>> = {
  waiting: 'running',
  proving: 'running',
  soaking: 'running',
  finished: 'done',
  'taken-back': 'rolled-back',
  withdrawn: 'rolled-back',
};

/**
 * Creates the moves over the mirrored rollouts.
 *
 * @example
 * const moves = createRolloutMoves(view.rollouts, clock);
 * createMoveDuty({configuration: moves.records, ...rest});
 */
export function createRolloutMoves(
  mirror: Mirror<Rollout>,
  clock: Clock,
): RolloutMoves {
  const changed = emitter<void>();
  /** Earliest known start of each rollout, in wall-clock milliseconds. */
  const startTimes = new Map<string, number>();

  function openRollouts(): {name: string; rollout: Rollout}[] {
    return mirror
      .items()
      .map(({name, value}) => ({name, rollout: value}))
      .filter(({rollout}) => isUnsettled(rollout));
  }

  function toMove(name: string, {service, target, periodMs}: Rollout): Move {
    const id = moveName(name, target);
    return {
      name: id,
      service,
      from: FROM_GROUP,
      to: TO_GROUP,
      deadline: (startTimes.get(id) ?? clock.wall()) + periodMs,
      maxUnprovenShare: MAX_UNPROVEN_SHARE,
    };
  }

  function recordStarts(): void {
    for (const {name, rollout} of openRollouts()) {
      const id = moveName(name, rollout.target);
      startTimes.set(id, startTimes.get(id) ?? clock.wall());
    }
    changed.fire();
  }

  function moves(): Move[] {
    return openRollouts().map(({name, rollout}) => toMove(name, rollout));
  }

  function stateToReport(rollout: Rollout, state: MoveState, move: Move) {
    const newState = rolloutStates[state.phase];
    const isEarly = clock.wall() < move.deadline - DONE_MARGIN_MS;
    return newState === 'done' && isEarly ? 'running' : newState;
  }

  mirror.onDidChange(recordStarts);
  recordStarts();
  return {
    records: {
      // The gateway has no records other than rollouts.
      list: kind => (kind === 'move' ? (moves() as never[]) : []),
      isReady: () => mirror.isKnown(),
      onDidChange: listener =>
        changed.event(() => listener('move', 'rollouts')),
    },
    hasOpen: () => openRollouts().length > 0,
    isOpen: service =>
      openRollouts().some(({rollout}) => rollout.service === service),
    recordStates(states) {
      for (const {move, startedAt = Infinity} of states) {
        const known = startTimes.get(move) ?? Infinity;
        if (startedAt < known) {
          startTimes.set(move, startedAt);
        }
      }
    },
    pendingUpdates(states) {
      return openRollouts().flatMap(({name, rollout}) => {
        const move = toMove(name, rollout);
        const state = states.find(
          ({move: nameInState}) => nameInState === move.name,
        );
        if (state === undefined) {
          return [];
        }
        const {target} = rollout;
        const newState = stateToReport(rollout, state, move);
        const isWritten = currentRolloutState(rollout) === newState;
        return isWritten ? [] : [{name, target, state: newState}];
      });
    },
    onDidChange: changed.event,
  };
}

/** Includes the target, since each target is a move with its own evidence. */
function moveName(name: string, target: string): string {
  return `${name}.${target}`;
}

/** Whether a rollout is still in progress. */
function isUnsettled(rollout: Rollout): boolean {
  return !SETTLED_STATES.has(currentRolloutState(rollout));
}
