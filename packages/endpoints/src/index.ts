/** Typed clients for model engines and plain services. */
export * from './contracts.js';
export * from './promptBlocks.js';
export * from './engineShapes.js';
export * from './eventQueue.js';
export * from './httpEngine.js';
export * from './sendErrors.js';
export {
  createHttpPlainService,
  type HttpPlainService,
  type HttpPlainServiceOptions,
} from './plainService.js';
export {passedHeaders, type RawHeaders} from './plainServiceHeaders.js';
