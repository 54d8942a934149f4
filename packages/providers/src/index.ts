/** Typed clients of the platform's APIs. */
export * from './contracts.js';
export * from './httpCalls.js';
export * from './httpCloud.js';
export * from './httpHostList.js';
export * from './httpObjectStore.js';
export * from './httpWeightStore.js';
export * from './memoryPlatform.js';
export * from './objectStore.js';
export * from './objectTable.js';
export * from './objectTransport.js';
export * from './storeRevision.js';
