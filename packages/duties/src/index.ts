/** Leases and fencing numbers. */
export * from './contracts.js';
