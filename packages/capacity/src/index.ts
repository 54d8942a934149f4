/** Performance of model engines, estimated from the requests they serve. */
export * from './contracts.js';
export {addCapacityStats, scaleCapacityStats} from './capacityStats.js';
export {estimateEngine} from './engineEstimate.js';
export {
  createEngineModel,
  SAMPLE_HALF_LIFE_MS,
  type EngineModel,
} from './engineModel.js';
export * from './outcomeMeter.js';
export {
  targetUtilization,
  type TargetUtilization,
} from './targetUtilization.js';
export type {RegressionStats} from './regression.js';
