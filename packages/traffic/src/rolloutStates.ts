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
