/** The inner protocol between entries. */
export * from './contracts.js';
export * from './codec.js';
export * from './memoryNetwork.js';
export * from './peerNetwork.js';
export {
  authorizationHeaders,
  HANDOVER_PATH,
  type PeerRequestHandler,
} from './innerListener.js';
export * from './innerTls.js';
export * from './limits.js';
export * from './messages/memberMessages.js';
export * from './messages/recordMessages.js';
export * from './messages/orderMessages.js';
export * from './messages/moveMessages.js';
export * from './messages/endpointMessages.js';
export {isSameKey} from './hello.js';
export * from './messages/gatewayMessages.js';
export * from './messages/schedulingMessages.js';
