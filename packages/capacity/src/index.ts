/** What model engines can do, learned from the requests they serve. */
export * from './contracts.js';
export {addCapacity, scaleCapacity} from './capacitySums.js';
export {engineFigures} from './engineFigures.js';
export {
  createEngineModel,
  HALF_LIFE_MS,
  type EngineModel,
} from './engineModel.js';
export * from './outcomeMeter.js';
export {plannedUse, type UsePlan} from './plannedUse.js';
export type {RegressionSums} from './regression.js';
