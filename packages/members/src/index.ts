/** Entry membership, heartbeats, leaving, lookup answers. */
export * from './contracts.js';
