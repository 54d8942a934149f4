/** Record kinds and schemas, acceptance, the configuration in force. */
export * from './contracts.js';
