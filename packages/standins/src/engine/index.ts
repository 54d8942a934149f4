/** The model engine's stand-in: as a simulation, in the same process, and over HTTP. */
export * from './answerText.js';
export * from './engineCosts.js';
export * from './engineFaults.js';
export * from './engineModel.js';
export * from './engineStandin.js';
export type {ExportedCache} from './exportedCache.js';
export * from './localEngine.js';
export type {StreamSink} from './sequence.js';
