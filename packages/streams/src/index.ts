/** Token streams with retries, event validation, resumption and migration. */
export * from './contracts.js';
export * from './streamRunner.js';
