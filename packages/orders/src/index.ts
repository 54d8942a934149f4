/** Ledger that executes non-idempotent calls at most once. */
export * from './contracts.js';
export {createLedger} from './ledger.js';
export {
  defaultLedgerSettings,
  type LedgerOptions,
  type LedgerSettings,
} from './ledgerSettings.js';
export {LEDGER_KIND} from './shardRecord.js';
export type {OrderObserver, OrderOutcome} from './orderObserver.js';
export type {OrderNetwork} from './orderRouter.js';
export {SEGMENT_KIND} from './shardSegments.js';
