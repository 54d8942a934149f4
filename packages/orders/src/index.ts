/** The ledger that runs non-idempotent calls at most once. */
export * from './contracts.js';
