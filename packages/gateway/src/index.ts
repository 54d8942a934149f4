/** The gateway: routes requests to services by the traffic policy. */
export * from './contracts.js';
export {
  createEngineObserver,
  type EngineObserver,
} from './endpoints/engineObserver.js';
export {
  createEngineEstimates,
  type EngineEstimates,
} from './endpoints/engineEstimates.js';
export {runAttempt} from './attempts/attempt.js';
export {createAttemptRace} from './attempts/attemptRace.js';
export {createCallerReply, type CallerReply} from './callers/callerReply.js';
export {createRequestBodies} from './callers/requestBodies.js';
export type {
  ForwardedCall,
  ForwardingResult,
} from './forwarding/forwardedCall.js';
export * from './process/gatewayProcess.js';
export {createHandoverHandler} from './handover/handoverHandler.js';
export {createHandovers} from './handover/handovers.js';
export {createMirror} from './mirrors/mirror.js';
export {createPeerReports} from './digests/peerReports.js';
export {createProgress, type RetryRules} from './forwarding/retryRules.js';
export * from './settings.js';
export {
  createTcpConnector,
  createUpstreams,
  type EndpointConnector,
} from './attempts/upstream.js';
