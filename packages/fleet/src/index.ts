/** Hosts per failure domain and machine class, repair. */
export * from './contracts.js';
