/** Performance of model engines, estimated from the requests they serve. */
export * from './contracts.js';
export {addCapacity, scaleCapacity} from './capacityStats.js';
export {engineFigures} from './engineEstimate.js';
export {
  createEngineModel,
  HALF_LIFE_MS,
  type EngineModel,
} from './engineModel.js';
export * from './outcomeMeter.js';
export {plannedUse, type UsePlan} from './targetUtilization.js';
export type {RegressionStats} from './regression.js';
