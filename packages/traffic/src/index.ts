/** Routes, keys, quotas, usage and fleets: traffic decisions without I/O. */
export * from './confirmation.js';
export * from './contracts.js';
export * from './customerTable.js';
export * from './engineWork.js';
export * from './demandEstimator.js';
export * from './fleetPlan.js';
export * from './promptKeys.js';
export * from './quotas.js';
export * from './regions.js';
export * from './removalHold.js';
export * from './repeatability.js';
export * from './rolloutStates.js';
export * from './routeTable.js';
export * from './usageWindows.js';
export * from './weightedChoice.js';
export * from './workMeter.js';
