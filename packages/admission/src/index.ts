/** Bulkheads, importance, customer fairness, limits, deadlines, retry budgets. */
export * from './contracts.js';
export * from './admission.js';
export type {LimitPolicy} from './concurrencyLimit.js';
