/** Typed clients for the platform. */
export * from './contracts.js';
