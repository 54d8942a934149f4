/** Version moves: shares, judging, deadline, taking back. */
export * from './contracts.js';
export {LATENCY_OFFSET_MS} from './localEvidence.js';
export * from './moveDuty.js';
export * from './moveFollower.js';
export * from './moveJudge.js';
export * from './trafficSplit.js';
