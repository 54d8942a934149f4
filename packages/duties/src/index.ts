/** Leader election for duties by leases with fencing tokens. */
export * from './contracts.js';
export * from './duties.js';
export * from './lease.js';
export * from './commandGate.js';
export * from './storeReturns.js';
