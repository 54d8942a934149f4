/** Entry membership, failure detection, leaving endpoints and entry lookup. */
export * from './contracts.js';
export * from './leavingEndpointTracker.js';
export * from './lookup.js';
export * from './membership.js';
export * from './neighbours.js';
export * from './readers.js';
export * from './timing.js';
