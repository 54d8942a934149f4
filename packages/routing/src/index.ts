/** Which endpoint serves a request. */
export * from './contracts.js';
export * from './router.js';
