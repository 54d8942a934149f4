/** Stand-ins for the platform, model engines and plain services. */
export * from './engine/index.js';
export * from './service/index.js';
