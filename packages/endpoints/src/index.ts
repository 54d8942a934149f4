/** Typed clients for model engines and plain services. */
export * from './contracts.js';
export * from './promptBlocks.js';
export {
  createHttpPlainService,
  type HttpPlainService,
  type HttpPlainServiceOptions,
} from './plainService.js';
export {passedHeaders, type RawHeaders} from './plainServiceHeaders.js';
