/** Leases and fencing numbers. */
export * from './contracts.js';
export * from './duties.js';
export * from './lease.js';
export * from './orderGate.js';
