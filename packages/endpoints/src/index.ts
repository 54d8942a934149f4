/** Typed clients for model engines and plain services. */
export * from './contracts.js';
export * from './promptBlocks.js';
