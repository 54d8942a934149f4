/** Faults of a simulated engine whose conditions hold at the moment. */
import {
  isFaultActive,
  type EngineFault,
  type EngineFaultType,
  type FaultContext,
} from './engineFaults.js';

export interface ActiveFaults {
  /** Replaces the injected faults. */
  setFaults(faults: readonly EngineFault[]): void;
  list(): readonly EngineFault[];
  has(type: EngineFaultType): boolean;
  /** Returns the factor by which steps take longer, 1 without `slow` faults. */
  slowdownFactor(): number;
}

/** Slowdown by a `slow` fault without an amount. */
const DEFAULT_SLOWDOWN = 2;

/**
 * Creates a set without faults; `currentContext` is called at each use.
 *
 * @example
 * const activeFaults = createActiveFaults(() => ({version, running, requests}));
 * activeFaults.setFaults([{type: 'slow', amount: 3, minRunning: 2}]);
 */
export function createActiveFaults(
  currentContext: () => FaultContext,
): ActiveFaults {
  let faults: readonly EngineFault[] = [];

  function list(): readonly EngineFault[] {
    const context = currentContext();
    return faults.filter(fault => isFaultActive(fault, context));
  }

  return {
    setFaults(newFaults) {
      faults = newFaults;
    },
    list,
    has: type => list().some(fault => fault.type === type),
    slowdownFactor: () =>
      list()
        .filter(fault => fault.type === 'slow')
        .reduce(
          (factor, fault) => factor * (fault.amount ?? DEFAULT_SLOWDOWN),
          1,
        ),
  };
}
