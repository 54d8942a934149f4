/** Endpoint selection: routing, health, rate limits and crash quarantine. */
export * from './contracts.js';
export * from './router.js';
export * from './health/departures.js';
export * from './limits/rateLimits.js';
export * from './limits/endpointLimits.js';
export * from './reach/endpointReach.js';
export * from './reach/reachContracts.js';
export type {ProbeTarget} from './reach/probeTargets.js';
export type {ReachState} from './reach/reachMachine.js';
export * from './health/rests.js';
export * from './selection/slotShares.js';
export * from './health/warmUp.js';
export * from './crashes/requestFingerprint.js';
export {addLoads} from './selection/loadSums.js';
export {
  defaultRouteWeights,
  type RouteWeights,
} from './selection/routeCosts.js';
export {pickSubset, SUBSET_SIZE} from './selection/subset.js';
export {
  createCrashQuarantine,
  type CrashQuarantine,
} from './crashes/crashQuarantine.js';
export {CRASH_TTL_MS, type QuarantineVerdict} from './crashes/crashVerdict.js';
export {promptPartSuspects} from './crashes/crashSuspects.js';
export {
  EMPTY_CRASH_REPORT,
  type Crash,
  type CrashReport,
} from './crashes/crashEvidence.js';
export {mergeCrashGossip, type CrashGossip} from './crashes/crashGossip.js';
export type {LostRequest} from './crashes/crashDetector.js';
