/** Benchmarks of decision code and of running processes. */
export * from './measurements.js';
export * from './table.js';
export * from './processes/trialCalls.js';
export * from './processes/trialFleet.js';
export * from './processes/waitUntilServing.js';
