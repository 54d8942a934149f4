/** Options of a ledger, its settings and their defaults. */
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
  /** Ids of the entries that accept new work, including this entry. */
  readonly liveMembers: () => readonly string[];
  /**
   * Ids of the entries that accept new work or are leaving, and so can answer
   * messages; defaults to `liveMembers`.
   */
  readonly answeringMembers?: () => readonly string[];
  readonly decisions?: DecisionLog;
  /** Receives the events of the ledger, for metrics. */
  readonly observer?: OrderObserver;
  readonly settings?: Partial<LedgerSettings>;
}

export interface LedgerSettings {
  /**
   * Number of shards. Must be the same in all entries and never change, since
   * it determines the shard of an idempotency key.
   */
  readonly shardCount: number;
  /** Minimum time between the starts of two writes of one shard. */
  readonly minWriteIntervalMs: number;
  /** Maximum time a claim outcome waits for a write that commits claims. */
  readonly outcomeDelayMs: number;
  /** How long an idempotency key is retained after its order has ended. */
  readonly dedupeWindowMs: number;
  /** How long a process that lost a shard leaves it to its new owner. */
  readonly holdOffMs: number;
  /** Size of a shard object at which ended orders are moved into segments. */
  readonly sealThresholdBytes: number;
  /** Size of a shard with its segments at which new orders are rejected. */
  readonly maxShardBytes: number;
  /** Largest reply body that is stored for retries. */
  readonly maxReplyBytes: number;
  /**
   * Largest request body that is handed over in the ledger; an order with a
   * larger body is forwarded to the next owner instead.
   */
  readonly maxHandOverBytes: number;
  /** How long a sent call may continue after the deadline of its order. */
  readonly graceMs: number;
  /** Maximum attempts under one claim, as long as no attempt sent a byte. */
  readonly maxAttempts: number;
  /** Minimum `Retry-After` for callers while the platform is down. */
  readonly retryAfterMs: number;
}

export const defaultLedgerSettings: LedgerSettings = {
  shardCount: 8,
  minWriteIntervalMs: 80,
  outcomeDelayMs: 200,
  dedupeWindowMs: 3_600_000,
  holdOffMs: 3_000,
  sealThresholdBytes: 16_384,
  maxShardBytes: 2_097_152,
  maxReplyBytes: 4_096,
  maxHandOverBytes: 16_384,
  graceMs: 30_000,
  maxAttempts: 4,
  retryAfterMs: 1_000,
};
