/** Endpoint selection: routing, health, rate limits and crash quarantine. */
export * from './contracts.js';
export * from './router.js';
export * from './departures.js';
export * from './rateLimits.js';
export * from './endpointLimits.js';
export * from './endpointReach.js';
export * from './reachContracts.js';
export type {ProbeTarget} from './probeTargets.js';
export type {ReachState} from './reachMachine.js';
export * from './rests.js';
export * from './slotShares.js';
export * from './warmUp.js';
export * from './requestFingerprint.js';
export {addLoads} from './loadView.js';
export {defaultRouteWeights, type RouteWeights} from './routeCosts.js';
export {pickSubset, SUBSET_SIZE} from './subset.js';
export {
  createCrashQuarantine,
  type CrashQuarantine,
} from './crashQuarantine.js';
export {CRASH_TTL_MS, type QuarantineVerdict} from './crashVerdict.js';
export {promptPartSuspects} from './crashSuspects.js';
export {
  EMPTY_CRASH_REPORT,
  type Crash,
  type CrashReport,
} from './crashEvidence.js';
export {mergeCrashGossip, type CrashGossip} from './crashGossip.js';
export type {LostRequest} from './crashDetector.js';
