/** Record kinds and schemas, acceptance, the configuration in force. */
export * from './acceptedShapes.js';
export * from './contracts.js';
export * from './convertRecord.js';
export * from './recordTable.js';
