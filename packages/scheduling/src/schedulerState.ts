/** What the scheduler of one service knows; its parts share it. */
import {createBookings, type Bookings} from './bookings.js';
import {createDemandRates, type DemandRates} from './demandRates.js';
import type {EndpointLoad} from './endpointLoad.js';
import {
  createPrefixLocations,
  type PrefixLocations,
} from './prefixLocations.js';
import {
  createPromptEstimates,
  type PromptEstimates,
} from './promptEstimates.js';
import {createRouteTimes, type RouteTimes} from './routeTimes.js';
import {
  createRunningRequests,
  type RunningRequests,
} from './runningRequests.js';
import type {ServiceSchedulerOptions} from './schedulerContracts.js';
import {
  createWaitingRequests,
  type WaitingRequests,
} from './waitingRequests.js';

export interface SchedulerState {
  readonly options: ServiceSchedulerOptions;
  readonly loads: Map<string, EndpointLoad>;
  readonly running: RunningRequests;
  readonly waiting: WaitingRequests;
  readonly demand: DemandRates;
  readonly bookings: Bookings;
  readonly routeTimes: RouteTimes;
  readonly prefixes: PrefixLocations;
  readonly estimates: PromptEstimates;
  readonly counts: {
    placed: number;
    late: number;
    rejected: number;
    returning: number;
  };
  totalSlots(): number;
}

/**
 * Creates the state of a scheduler without endpoints and requests.
 *
 * @example
 * const state = createSchedulerState(options);
 */
export function createSchedulerState(
  options: ServiceSchedulerOptions,
): SchedulerState {
  const loads = new Map<string, EndpointLoad>();
  return {
    options,
    loads,
    running: createRunningRequests(),
    waiting: createWaitingRequests(),
    demand: createDemandRates(options.clock),
    bookings: createBookings(options.clock),
    routeTimes: createRouteTimes(),
    prefixes: createPrefixLocations(options.cacheTokens),
    estimates: createPromptEstimates(),
    counts: {placed: 0, late: 0, rejected: 0, returning: 0},
    totalSlots() {
      let slots = 0;
      for (const {endpoint} of loads.values()) {
        slots += endpoint.slots;
      }
      return Math.max(1, slots);
    },
  };
}
