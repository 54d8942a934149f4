/** What a ledger is made from, and its settings with their defaults. */
import type {Clock, DecisionLog, Random} from '@skylarkfield/base';
import type {ObjectStore} from '@skylarkfield/providers';
import type {Dispatch} from './contracts.js';
import type {OrderObserver} from './orderObserver.js';
import type {OrderNetwork} from './orderRouter.js';

export interface LedgerOptions {
  readonly store: ObjectStore;
  readonly network: OrderNetwork;
  readonly dispatch: Dispatch;
  readonly clock: Clock;
  readonly random: Random;
  /** Id of this entry among its peers. */
  readonly member: string;
  /** Ids of the entries that take new work, this one included. */
  readonly liveMembers: () => readonly string[];
  /** Ids of the entries that can still answer: those live and those leaving; the live ones when absent. */
  readonly answeringMembers?: () => readonly string[];
  readonly decisions?: DecisionLog;
  /** Counts what is done; nothing is counted when absent. */
  readonly observer?: OrderObserver;
  readonly settings?: Partial<LedgerSettings>;
}

export interface LedgerSettings {
  /** The same in every entry and for good: it decides which shard holds a key. */
  readonly shardCount: number;
  /** The least time between two writes of one shard. */
  readonly writeGapMs: number;
  /** How long an outcome may wait for a write. */
  readonly outcomeDelayMs: number;
  /** How long a key is remembered after its order has ended. */
  readonly dedupeWindowMs: number;
  /** How long a deposed owner leaves a shard to its new one. */
  readonly holdOffMs: number;
  /** Size of a shard's object from which ended orders move into objects of their own. */
  readonly sealBytes: number;
  /** Size of a shard with all its objects above which new orders are refused. */
  readonly maxShardBytes: number;
  /** The largest reply that is kept for retries. */
  readonly maxReplyBytes: number;
  /** The largest body that is handed over in the ledger; larger ones go to the next owner directly. */
  readonly maxHandOverBytes: number;
  /** How long a sent call may outlive its deadline, so that its outcome gets known. */
  readonly graceMs: number;
  /** Attempts under one claim while nothing was sent. */
  readonly maxAttempts: number;
  /** Least wait that is asked of callers while the platform is down. */
  readonly retryAfterMs: number;
}

/** What a ledger does when nothing is set. */
export const defaultLedgerSettings: LedgerSettings = {
  shardCount: 8,
  writeGapMs: 80,
  outcomeDelayMs: 200,
  dedupeWindowMs: 3_600_000,
  holdOffMs: 3_000,
  sealBytes: 16_384,
  maxShardBytes: 2_097_152,
  maxReplyBytes: 4_096,
  maxHandOverBytes: 16_384,
  graceMs: 30_000,
  maxAttempts: 4,
  retryAfterMs: 1_000,
};
