/** Attempts, correlation and resume of token streams. */
export * from './contracts.js';
export * from './streamRunner.js';
