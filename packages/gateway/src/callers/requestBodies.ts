/** What the bodies of all requests of a gateway share. */
import {
  createLingeringBodies,
  createRequestBodyMemory,
  type Clock,
  type LingeringBodies,
  type RequestBodyMemory,
} from '@skylarkfield/base';
import type {CallerLimits} from '@skylarkfield/traffic';

export interface RequestBodies {
  readonly memory: RequestBodyMemory;
  /** Bodies of rejected requests that are left unread. */
  readonly lingering: LingeringBodies;
  setLimits(limits: Pick<CallerLimits, 'bodyBytes'>): void;
}

const BYTES_PER_MB = 1_000_000;

/** Fraction of the machine's memory that bodies may take. */
const MACHINE_FRACTION = 1 / 12;

/** Number of largest legal bodies that find room together. */
const MIN_LARGEST_BODIES = 4;

/**
 * Creates what the bodies of a gateway share. Their memory is a part of that of
 * the machine.
 *
 * @example
 * const requestBodies = createRequestBodies(350, clock);
 */
export function createRequestBodies(
  machineMb: number,
  clock: Clock,
): RequestBodies {
  const machineBytes = machineMb * BYTES_PER_MB * MACHINE_FRACTION;
  let largestBytes = 0;
  return {
    memory: createRequestBodyMemory(() =>
      Math.max(machineBytes, largestBytes * MIN_LARGEST_BODIES),
    ),
    lingering: createLingeringBodies(clock),
    setLimits: ({bodyBytes}) => (largestBytes = bodyBytes),
  };
}
