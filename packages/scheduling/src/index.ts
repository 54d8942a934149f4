/** Scheduling of a service's requests: order, endpoint, rejection, bookings. */
export * from './contracts.js';
export type {
  ObservedDecision,
  ServiceScheduler,
  ServiceSchedulerOptions,
} from './schedulerContracts.js';
export {rankSchedulers, type SchedulerCandidate} from './schedulerRanking.js';
export {createServiceScheduler} from './serviceScheduler.js';
