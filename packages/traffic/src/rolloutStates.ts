/** State of a rollout toward its current target. */
import type {Rollout, RolloutState} from './contracts.js';

/**
 * Returns the state written for the rollout's current target; undefined if no
 * state was written, or only for an earlier target.
 *
 * @example
 * if (currentRolloutState(rollout) === 'done') { useTarget(); }
 */
export function currentRolloutState({
  state,
  stateTarget,
  target,
}: Rollout): RolloutState | undefined {
  return stateTarget === target ? state : undefined;
}

/** States after which a rollout is no longer in progress. */
const SETTLED_STATES: ReadonlySet<RolloutState | undefined> = new Set([
  'done',
  'rolled-back',
]);

/**
 * Returns whether the rollout to the current target has ended.
 *
 * @example
 * const openRollouts = rollouts.filter(rollout => !isSettled(rollout));
 */
export function isSettled(rollout: Rollout): boolean {
  return SETTLED_STATES.has(currentRolloutState(rollout));
}
