/** Stand-in for plain services. */
export * from './serviceFaults.js';
export * from './serviceStandin.js';
