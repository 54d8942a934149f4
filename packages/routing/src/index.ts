/** Which endpoint serves a request. */
export * from './contracts.js';
export * from './router.js';
export * from './requestLimits.js';
export * from './requestFingerprint.js';
export {addLoads} from './loadView.js';
export {defaultRouteWeights, type RouteWeights} from './routeCosts.js';
export {pickSubset, SUBSET_SIZE} from './subset.js';
