/** Typed clients for model engines and plain services. */
export * from './contracts.js';
export * from './promptBlocks.js';
export * from './engineSchemas.js';
export * from './eventQueue.js';
export * from './httpEngine.js';
export * from './requestErrors.js';
export {
  createHttpPlainService,
  type HttpPlainService,
  type HttpPlainServiceOptions,
} from './plainService.js';
export * from './plainServiceRest.js';
export {removeHopByHopHeaders, type RawHeaders} from './plainServiceHeaders.js';
