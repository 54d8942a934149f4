/** Measurements of decisions and of running processes. */
export * from './measurements.js';
export * from './table.js';
