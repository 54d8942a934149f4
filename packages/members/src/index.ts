/** Entry membership, heartbeats, leaving, lookup answers. */
export * from './contracts.js';
export * from './lookup.js';
export * from './membership.js';
export * from './neighbours.js';
export * from './timing.js';
