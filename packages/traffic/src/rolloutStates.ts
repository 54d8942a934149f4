/** What the system has said of an operator's rollout. */
import type {Rollout, RolloutState} from './contracts.js';

/**
 * The state that was written about the rollout's present target; undefined when
 * none was: a state of an earlier target says nothing of this one.
 *
 * @example
 * if (writtenState(rollout) === 'done') { useTarget(); }
 */
export function writtenState({
  state,
  stateTarget,
  target,
}: Rollout): RolloutState | undefined {
  return stateTarget === target ? state : undefined;
}
