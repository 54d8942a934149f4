/** State of a rollout that was written for its present target. */
import type {Rollout, RolloutState} from './contracts.js';

/**
 * Returns the state written for the rollout's present target; undefined if
 * there is none, as the state of an earlier target does not apply.
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
