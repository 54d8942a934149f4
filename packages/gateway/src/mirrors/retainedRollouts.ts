/** Rollouts that the store lost, or lost the state of, when it was restored. */
import type {Rollout} from '@skylarkfield/traffic';
import type {Mirror} from './mirror.js';

export type RolloutMirror = Pick<Mirror<Rollout>, 'retainedItems' | 'copy'>;

/** A rollout as it was before the store was restored. */
export interface RetainedRollout {
  readonly name: string;
  readonly rollout: Rollout;
  /**
   * Whether the store has the rollout to this target. If not, the operator has
   * to write it first: its state would otherwise replace that of the earlier
   * target.
   */
  readonly isOrderStored: boolean;
}

/**
 * Returns the rollouts that are in force instead of what the store holds; none
 * unless the store was restored from a copy.
 *
 * @example
 * for (const {name, rollout} of listRetainedRollouts(mirror)) { ... }
 */
export function listRetainedRollouts(
  mirror: RolloutMirror,
): readonly RetainedRollout[] {
  const retainedItems = mirror.retainedItems();
  if (retainedItems.length === 0) {
    return [];
  }
  const storedTargets = new Map(
    mirror
      .copy()
      .items.map(({name, value}) => [name, (value as Rollout).target]),
  );
  return retainedItems.map(({name, value}) => ({
    name,
    rollout: value,
    isOrderStored: storedTargets.get(name) === value.target,
  }));
}
