/**
 * How many endpoints a service needs, from work that comes in clumps and waves.
 *
 * An endpoint takes seconds to start and is paid for from then on. Following
 * each clump would order endpoints that are there when it is over, and send
 * away those that the next one needs: so the need rises with the work and falls
 * only when the work has been lower for a while.
 */
import type {Clock} from '@skylarkfield/base';
import {endpointsNeeded} from './fleetPlan.js';

export interface FleetDemand {
  /** Notes the work that comes in now and returns the endpoints needed. */
  note(workRate: number, presentCount: number): number;
}

/** The need falls only to the most of this span, in milliseconds: longer than a wave's trough is deep. */
const MEMORY_MS = 8_000;

/**
 * Before any work was seen, this part of the endpoints found at the start is
 * kept: operators size them for the busiest hour.
 */
const INITIAL_PART = 0.6;

/** After the first work was seen, the initial part is kept this long: the rate is still rising to what it is. */
const LEARNING_MS = 8_000;

/** A rate below this is a stray request, in milliseconds of one endpoint a second. */
const LEAST_WORK = 50;

/**
 * Makes the demand of one service.
 *
 * @example
 * const needed = demand.note(1_400, 6);
 */
export function createFleetDemand(clock: Clock): FleetDemand {
  const noted: {at: number; needed: number}[] = [];
  let initial: number | undefined;
  let workSince: number | undefined;

  function floor(): number {
    const isLearning =
      workSince === undefined || clock.now() - workSince < LEARNING_MS;
    return isLearning ? (initial ?? 1) : 1;
  }

  return {
    note(workRate, presentCount) {
      if (workSince === undefined) {
        // Endpoints register one after the other when a system starts.
        initial = Math.max(
          initial ?? 0,
          Math.ceil(presentCount * INITIAL_PART),
        );
      }
      if (workRate >= LEAST_WORK) {
        workSince ??= clock.now();
      }
      const now = clock.now();
      noted.push({at: now, needed: endpointsNeeded(workRate)});
      while (now - noted[0]!.at > MEMORY_MS) {
        noted.shift();
      }
      return Math.max(floor(), ...noted.map(({needed}) => needed));
    },
  };
}
