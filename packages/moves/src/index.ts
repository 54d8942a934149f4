/** Version moves: shares, judging, deadline, taking back. */
export * from './contracts.js';
