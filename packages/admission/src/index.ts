/** Bulkheads, importance, customer fairness, limits, deadlines, retry budgets. */
export * from './contracts.js';
