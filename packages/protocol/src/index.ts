/** The inner protocol between entries. */
export * from './contracts.js';
export * from './messages/memberMessages.js';
export * from './messages/recordMessages.js';
export * from './messages/orderMessages.js';
export * from './messages/moveMessages.js';
export * from './messages/endpointMessages.js';
