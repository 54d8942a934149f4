/** The entry process. */
export * from './entryProcess.js';
export * from './settings.js';
