/** Version moves: shares, judging, deadline, taking back. */
export * from './contracts.js';
export * from './trafficSplit.js';
export * from './moveJudge.js';
