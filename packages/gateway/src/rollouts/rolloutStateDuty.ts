/**
 * Writes the final states of rollouts again that the platform's store lost when
 * it was restored from a copy.
 *
 * A rollout with a final state is not in progress, so nothing else writes its
 * state: the duty `moves` is not held without a rollout in progress.
 */
import {
  scheduleRepeatedly,
  toServingError,
  withTimeLimit,
  type Clock,
  type Disposable,
  type Logger,
} from '@skylarkfield/base';
import type {DutyTerm} from '@skylarkfield/duties';
import {
  currentRolloutState,
  isSettled,
  type Rollout,
} from '@skylarkfield/traffic';
import type {Platform} from '../contracts.js';
import {
  listRetainedRollouts,
  type RolloutMirror,
} from '../mirrors/retainedRollouts.js';

/** Interval at which lost states are looked for, in milliseconds. */
const CHECK_INTERVAL_MS = 500;

/**
 * Time after a write during which the same state is not written again, in
 * milliseconds: the mirror receives the written state within this time.
 */
const REWRITE_INTERVAL_MS = 5_000;

/** Time after a failed write until the next one, in milliseconds. */
const RETRY_INTERVAL_MS = 1_000;

/** Maximum number of states that are written in one check. */
const MAX_WRITES_PER_CHECK = 4;

/** Timeout of writing a rollout state, in milliseconds. */
const CALL_TIMEOUT_MS = 1_500;

export interface RolloutStateDutyOptions {
  readonly term: Pick<DutyTerm, 'isValid' | 'signal'>;
  readonly rollouts: RolloutMirror;
  readonly writeRolloutState: Platform['writeRolloutState'];
  readonly clock: Clock;
  readonly log: Logger;
}

/**
 * Writes lost final states until disposed, while the term is valid.
 *
 * @example
 * dutyElections.compete('fleet', term =>
 *   startRolloutStateDuty({term, rollouts, ...rest}),
 * );
 */
export function startRolloutStateDuty(
  options: RolloutStateDutyOptions,
): Disposable {
  const {term, rollouts, clock, log} = options;
  /** Time of the next write of each state, in monotonic milliseconds. */
  const nextWriteAtByKey = new Map<string, number>();

  async function writeState(name: string, rollout: Rollout): Promise<void> {
    const {target} = rollout;
    const state = currentRolloutState(rollout);
    if (state === undefined) {
      return;
    }
    const key = keyOf(name, rollout);
    nextWriteAtByKey.set(key, clock.now() + REWRITE_INTERVAL_MS);
    try {
      await withTimeLimit(clock, CALL_TIMEOUT_MS, term.signal, signal =>
        options.writeRolloutState(name, target, state, signal),
      );
      log.info({rollout: name, target, state}, 'lost rollout state written');
    } catch (error) {
      nextWriteAtByKey.set(key, clock.now() + RETRY_INTERVAL_MS);
      const {kind, message} = toServingError(error);
      log.warn(
        {rollout: name, target, state, kind, message},
        'writing the lost rollout state failed',
      );
    }
  }

  function isWriteDue(name: string, rollout: Rollout): boolean {
    const nextWriteAt = nextWriteAtByKey.get(keyOf(name, rollout)) ?? 0;
    return isSettled(rollout) && clock.now() >= nextWriteAt;
  }

  function writeLostStates(): void {
    if (!term.isValid()) {
      return;
    }
    const lostRollouts = listRetainedRollouts(rollouts).filter(
      ({isOrderStored}) => isOrderStored,
    );
    const lostKeys = new Set(
      lostRollouts.map(({name, rollout}) => keyOf(name, rollout)),
    );
    // A later loss of the same state is handled without delay.
    for (const key of nextWriteAtByKey.keys()) {
      if (!lostKeys.has(key)) {
        nextWriteAtByKey.delete(key);
      }
    }
    const dueRollouts = lostRollouts
      .filter(({name, rollout}) => isWriteDue(name, rollout))
      .slice(0, MAX_WRITES_PER_CHECK);
    for (const {name, rollout} of dueRollouts) {
      void writeState(name, rollout);
    }
  }

  return scheduleRepeatedly(clock, CHECK_INTERVAL_MS, writeLostStates);
}

/** Identifies a rollout's state for one target. */
function keyOf(name: string, rollout: Rollout): string {
  return `${name}/${rollout.target}/${currentRolloutState(rollout)}`;
}
