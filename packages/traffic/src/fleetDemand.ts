/**
 * How many endpoints a service needs, from work that comes in clumps and waves.
 *
 * An endpoint takes seconds to start and is paid for from then on. Following
 * each clump would order endpoints that are there when it is over, and send
 * away those that the next one needs: so the need rises with the work and falls
 * only when the work has been lower for a while.
 *
 * What is known of engines may be wrong. Then callers show it: while many of
 * them wait too long, more endpoints are needed than there are, whatever the
 * work says, and none is sent away before they have been served well for a while.
 */
import type {Clock} from '@skylarkfield/base';
import {endpointsNeeded} from './fleetPlan.js';

/** What the need follows from. */
export interface DemandSigns {
  /** Work that comes in, in milliseconds of one endpoint a second. */
  readonly workRate: number;
  /** Part of an endpoint's time that may be planned for. */
  readonly plannedUse: number;
  /** Endpoints that take requests now. */
  readonly present: number;
  /** Part of the callers that waited too long lately. */
  readonly latePart: number;
  /** Enough was seen of engines to send endpoints away by it. */
  readonly isSure: boolean;
}

export interface FleetDemand {
  /** Notes what is seen now and returns the endpoints needed. */
  note(signs: DemandSigns): number;
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

/** From this part of late callers on there are too few endpoints. */
const MANY_LATE = 0.2;

/** Endpoints beyond those present that are asked for while many callers are late. */
const MORE_FACTOR = 1.25;

/** Callers may be late for other reasons, like failing endpoints: no more than this multiple of what the work needs. */
const MOST_OVER_WORK = 2;

/**
 * Makes the demand of one service.
 *
 * @example
 * const needed = demand.note({workRate: 1_400, plannedUse: 0.4, present: 6, latePart: 0, isSure: true});
 */
export function createFleetDemand(clock: Clock): FleetDemand {
  const noted: {at: number; needed: number}[] = [];
  let initial: number | undefined;
  let workSince: number | undefined;

  function floor(isSure: boolean): number {
    const isLearning =
      !isSure ||
      workSince === undefined ||
      clock.now() - workSince < LEARNING_MS;
    return isLearning ? (initial ?? 1) : 1;
  }

  function needNow(signs: DemandSigns): number {
    const byWork = endpointsNeeded(signs.workRate, signs.plannedUse);
    if (signs.latePart < MANY_LATE) {
      return byWork;
    }
    const byCallers = Math.ceil(signs.present * MORE_FACTOR);
    return Math.max(byWork, Math.min(byCallers, byWork * MOST_OVER_WORK));
  }

  return {
    note(signs) {
      if (workSince === undefined) {
        // Endpoints register one after the other when a system starts.
        initial = Math.max(
          initial ?? 0,
          Math.ceil(signs.present * INITIAL_PART),
        );
      }
      if (signs.workRate >= LEAST_WORK) {
        workSince ??= clock.now();
      }
      const now = clock.now();
      noted.push({at: now, needed: needNow(signs)});
      while (now - noted[0]!.at > MEMORY_MS) {
        noted.shift();
      }
      return Math.max(floor(signs.isSure), ...noted.map(({needed}) => needed));
    },
  };
}
