/** The gateway: routes requests to services by the traffic policy. */
export * from './contracts.js';
export {createEngineObserver, type EngineObserver} from './engineObserver.js';
export {
  createEngineEstimates,
  type EngineEstimates,
} from './engineEstimates.js';
export {runAttempt} from './attempt.js';
export {createAttemptRace} from './attemptRace.js';
export {createCallerReply, type CallerReply} from './callerReply.js';
export type {ForwardedCall, ForwardingResult} from './forwardedCall.js';
export * from './gatewayProcess.js';
export {createHandoverHandler} from './handoverHandler.js';
export {createHandovers} from './handovers.js';
export {createMirror} from './mirror.js';
export {createPeerReports} from './peerReports.js';
export {createProgress, type RetryRules} from './retryRules.js';
export * from './settings.js';
export {
  createTcpConnector,
  createUpstreams,
  type EndpointConnector,
} from './upstream.js';
