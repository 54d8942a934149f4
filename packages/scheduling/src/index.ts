/** Scheduling of a service's requests: order, endpoint, rejection, bookings. */
export * from './contracts.js';
export {
  createServiceScheduler,
  type ObservedDecision,
  type ServiceScheduler,
  type ServiceSchedulerOptions,
} from './serviceScheduler.js';
export {rankSchedulers, type SchedulerCandidate} from './schedulerRanking.js';
