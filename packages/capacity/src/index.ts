/** What model engines can do, learned from the requests they serve. */
export * from './contracts.js';
export {
  addCapacity,
  createEngineModel,
  engineFigures,
  HALF_LIFE_MS,
  scaleCapacity,
  type EngineModel,
} from './engineModel.js';
export * from './outcomeMeter.js';
export {plannedUse, type UsePlan} from './plannedUse.js';
export type {RegressionSums} from './regression.js';
