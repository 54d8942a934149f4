/** Admission control: bulkheads, fair queueing, limits, retry budgets. */
export * from './contracts.js';
export * from './admission.js';
export type {LimitPolicy} from './concurrencyLimit.js';
export {createFairQueue, URGENCY_COUNT} from './fairQueue.js';
export type {FairQueue} from './fairQueue.js';
