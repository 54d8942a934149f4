/** Model engine simulation with an in-process and an HTTP interface. */
export * from './answerText.js';
export * from './engineCosts.js';
export * from './engineFaults.js';
export * from './simulatedEngine.js';
export * from './engineStandin.js';
export type {ExportedCache} from './exportedCache.js';
export * from './localEngine.js';
export type {StreamSink} from './sequence.js';
