/** Record kinds and schemas, acceptance, the configuration in force. */
export * from './acceptance.js';
export * from './acceptanceDecision.js';
export * from './acceptedSchemas.js';
export * from './configuration.js';
export * from './contracts.js';
export * from './convertRecord.js';
export * from './recordReaders.js';
export * from './recordStatus.js';
export * from './recordTable.js';
