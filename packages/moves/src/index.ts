/**
 * Version moves: rollouts of a candidate version with rollback and deadline.
 */
export * from './contracts.js';
export {createKnownStates, type KnownStates} from './knownStates.js';
export {LATENCY_OFFSET_MS} from './localEvidence.js';
export * from './moveDuty.js';
export * from './moveFollower.js';
export * from './moveController.js';
export * from './trafficSplit.js';
