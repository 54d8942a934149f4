/** What a process knows about returns of the store from a copy. */
import type {Clock} from '@skylarkfield/base';
import type {ObjectStore} from '@skylarkfield/providers';

/** Eras of the store, as this process knows them. */
export interface StoreReturns {
  /** Latest known era of the store. */
  era(): number;
  /** Earliest known era of the store; lower than `era` after a return. */
  firstEra(): number;
  /** Records an earlier era that a stored object names. */
  recordFormerEra(era: number): void;
  /**
   * Returns the monotonic milliseconds at which this process learned of the
   * latest return; undefined if it knows of none.
   */
  learnedAt(): number | undefined;
}

/**
 * Follows the eras of a store.
 *
 * The first era need not be 0, so that a process knows of a return only if it
 * has seen two eras, or has read an object that names an earlier one.
 *
 * @example
 * const returns = createStoreReturns(clock, store);
 * const isRestored = returns.learnedAt() !== undefined;
 */
export function createStoreReturns(
  clock: Clock,
  store: Pick<ObjectStore, 'era'>,
): StoreReturns {
  let firstEra: number | undefined;
  let latestEra = 0;
  let learnedAt: number | undefined;

  function update(): void {
    const era = store.era();
    if (era === undefined || (firstEra !== undefined && era <= latestEra)) {
      return;
    }
    if (firstEra !== undefined) {
      learnedAt = clock.now();
    }
    firstEra ??= era;
    latestEra = era;
  }

  return {
    era() {
      update();
      return latestEra;
    },
    firstEra() {
      update();
      return firstEra ?? latestEra;
    },
    recordFormerEra(era) {
      update();
      if (era >= (firstEra ?? latestEra)) {
        return;
      }
      firstEra = era;
      learnedAt ??= clock.now();
    },
    learnedAt() {
      update();
      return learnedAt;
    },
  };
}
