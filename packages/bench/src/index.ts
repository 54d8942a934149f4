/** Benchmarks of decision code and of running processes. */
export * from './measurements.js';
export * from './table.js';
