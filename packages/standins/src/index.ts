/** Stand-ins that simulate the platform, model engines and plain services. */
export * from './platform/platformStandin.js';
export * from './engine/index.js';
export * from './service/index.js';
