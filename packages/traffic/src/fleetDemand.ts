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
import type {UsePlan} from '@skylarkfield/capacity';
import {endpointsNeeded, type EndpointNeed} from './fleetPlan.js';

/** What the need follows from. */
export interface DemandSigns {
  /** Work that comes in, in milliseconds of one endpoint a second. */
  readonly workRate: number;
  /** Parts of an endpoint's time that may be planned for. */
  readonly use: UsePlan;
  /** Endpoints that take requests now. */
  readonly present: number;
  /** Part of the callers that waited too long lately. */
  readonly latePart: number;
  /** Enough was seen of engines to send endpoints away by it. */
  readonly isSure: boolean;
}

export interface FleetDemand {
  /** Notes what is seen now and returns the endpoints needed. */
  note(signs: DemandSigns): EndpointNeed;
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

interface NotedNeed extends EndpointNeed {
  readonly at: number;
}

/**
 * Makes the demand of one service.
 *
 * @example
 * const {usual} = demand.note({workRate: 1_400, use, present: 6, latePart: 0, isSure: true});
 */
export function createFleetDemand(clock: Clock): FleetDemand {
  let noted: NotedNeed[] = [];
  let found = 0;
  let workSince: number | undefined;
  let wasSure = false;

  function floor(isSure: boolean): number {
    const isLearning =
      !isSure ||
      workSince === undefined ||
      clock.now() - workSince < LEARNING_MS;
    return isLearning ? Math.ceil(found * INITIAL_PART) : 1;
  }

  /** What callers show: more than there is while many of them are late. */
  function needOfCallers({latePart, present}: DemandSigns): number {
    return latePart < MANY_LATE ? 1 : Math.ceil(present * MORE_FACTOR);
  }

  function needOfWork(signs: DemandSigns, use: number): number {
    const needed = endpointsNeeded(signs.workRate, use);
    // A guess must not order beyond what the operator had found enough.
    return signs.isSure ? needed : Math.min(needed, Math.max(1, found));
  }

  function needNow(signs: DemandSigns): NotedNeed {
    const usual = needOfWork(signs, signs.use.usual);
    const brief = needOfWork(signs, signs.use.brief);
    const late = Math.min(needOfCallers(signs), usual * MOST_OVER_WORK);
    return {
      at: clock.now(),
      usual: Math.max(usual, late),
      brief: Math.max(brief, late),
    };
  }

  function noteStart({workRate, present, isSure}: DemandSigns): void {
    if (workSince === undefined) {
      // Endpoints register one after the other when a system starts.
      found = Math.max(found, present);
    }
    if (workRate >= LEAST_WORK) {
      workSince ??= clock.now();
    }
    if (isSure && !wasSure) {
      noted = [];
    }
    wasSure = isSure;
  }

  return {
    note(signs) {
      noteStart(signs);
      noted.push(needNow(signs));
      noted = noted.filter(({at}) => clock.now() - at <= MEMORY_MS);
      const least = floor(signs.isSure);
      return {
        usual: Math.max(least, ...noted.map(({usual}) => usual)),
        brief: Math.max(least, ...noted.map(({brief}) => brief)),
      };
    },
  };
}
