/** Operators' rollouts as moves of traffic from one group of endpoints to another. */
import {emitter, type Clock, type Event} from '@skylarkfield/base';
import type {MoveState} from '@skylarkfield/moves';
import type {Configuration, Move} from '@skylarkfield/records';
import {
  writtenState,
  type Rollout,
  type RolloutState,
} from '@skylarkfield/traffic';
import type {VersionGroup} from './endpointDirectory.js';
import type {Mirror} from './mirror.js';

/** What the parts of a move ask of the records. */
export type MoveRecords = Pick<
  Configuration,
  'list' | 'isReady' | 'onDidChange'
>;

/** A state that the operator should read of a rollout. */
export interface RolloutStateUpdate {
  /** Name of the rollout's object. */
  readonly name: string;
  readonly target: string;
  readonly state: RolloutState;
}

export interface RolloutMoves {
  readonly records: MoveRecords;
  /** Whether traffic of any service is to be moved. */
  hasOpen(): boolean;
  /** Whether a service's traffic is to be moved. */
  isOpen(service: string): boolean;
  /** Takes the durable states over; their start counts where this process has seen the order later. */
  noteStates(states: readonly MoveState[]): void;
  /** What is to be written now, from the durable states. */
  pendingUpdates(states: readonly MoveState[]): readonly RolloutStateUpdate[];
  /** Fires when a rollout was ordered, changed or settled. */
  readonly onDidChange: Event<void>;
}

/** The groups of a service's endpoints between which traffic moves. */
const FROM_GROUP: VersionGroup = 'incumbent';
const TO_GROUP: VersionGroup = 'candidate';

/** The most of the traffic that an unproven version may get; operators allow a tenth and some requests. */
const MAX_UNPROVEN_SHARE = 0.08;

/**
 * The old endpoints stop as soon as a rollout is said to be done, with whatever
 * they still run. So it is said this much before the deadline, in milliseconds:
 * long after traffic has moved, with time for a call that has to be repeated.
 */
const DONE_MARGIN_MS = 1_000;

/** A rollout is settled for good in these states. */
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
 * Makes the moves over the mirrored rollouts.
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
  /** Wall-clock milliseconds of each order, as early as this process knows. */
  const orderedAt = new Map<string, number>();

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
      deadline: (orderedAt.get(id) ?? clock.wall()) + periodMs,
      maxUnprovenShare: MAX_UNPROVEN_SHARE,
    };
  }

  function noteOrders(): void {
    for (const {name, rollout} of openRollouts()) {
      const id = moveName(name, rollout.target);
      orderedAt.set(id, orderedAt.get(id) ?? clock.wall());
    }
    changed.fire();
  }

  function moves(): Move[] {
    return openRollouts().map(({name, rollout}) => toMove(name, rollout));
  }

  function stateToReport(rollout: Rollout, state: MoveState, move: Move) {
    const due = rolloutStates[state.phase];
    const isEarly = clock.wall() < move.deadline - DONE_MARGIN_MS;
    return due === 'done' && isEarly ? 'running' : due;
  }

  mirror.onDidChange(noteOrders);
  noteOrders();
  return {
    records: {
      // Rollouts are the only records that are moves here, and there are no others.
      list: kind => (kind === 'move' ? (moves() as never[]) : []),
      isReady: () => mirror.isKnown(),
      onDidChange: listener =>
        changed.event(() => listener('move', 'rollouts')),
    },
    hasOpen: () => openRollouts().length > 0,
    isOpen: service =>
      openRollouts().some(({rollout}) => rollout.service === service),
    noteStates(states) {
      for (const {move, startedAt = Infinity} of states) {
        const known = orderedAt.get(move) ?? Infinity;
        if (startedAt < known) {
          orderedAt.set(move, startedAt);
        }
      }
    },
    pendingUpdates(states) {
      return openRollouts().flatMap(({name, rollout}) => {
        const move = toMove(name, rollout);
        const state = states.find(({move: of}) => of === move.name);
        if (state === undefined) {
          return [];
        }
        const {target} = rollout;
        const due = stateToReport(rollout, state, move);
        const isWritten = writtenState(rollout) === due;
        return isWritten ? [] : [{name, target, state: due}];
      });
    },
    onDidChange: changed.event,
  };
}

/** Another target under the same name is another move, with evidence of its own. */
function moveName(name: string, target: string): string {
  return `${name}.${target}`;
}

/** Whether a rollout waits for the system. */
function isUnsettled(rollout: Rollout): boolean {
  return !SETTLED_STATES.has(writtenState(rollout));
}
