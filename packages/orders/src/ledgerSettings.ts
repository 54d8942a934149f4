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
  /** Ids of the entries that accept new work, including this one. */
  readonly liveMembers: () => readonly string[];
  /** Ids of the entries live or leaving; defaults to `liveMembers`. */
  readonly answeringMembers?: () => readonly string[];
  readonly decisions?: DecisionLog;
  /** Receives events for metrics; optional. */
  readonly observer?: OrderObserver;
  readonly settings?: Partial<LedgerSettings>;
}

export interface LedgerSettings {
  /** Must be the same in all entries and never change: maps keys to shards. */
  readonly shardCount: number;
  /** Minimum time between two writes of one shard. */
  readonly minWriteIntervalMs: number;
  /** Upper bound of the time that an outcome waits for a write. */
  readonly outcomeDelayMs: number;
  /** How long a key is retained after its order has ended. */
  readonly dedupeWindowMs: number;
  /** How long a deposed owner leaves a shard to the new one. */
  readonly holdOffMs: number;
  /** Size of a shard object from which ended orders are moved into segments. */
  readonly sealThresholdBytes: number;
  /** Size of a shard and its segments from which new orders are rejected. */
  readonly maxShardBytes: number;
  /** Upper bound of a reply body that is stored for retries. */
  readonly maxReplyBytes: number;
  /** Largest body handed over in the ledger; larger ones are forwarded. */
  readonly maxHandOverBytes: number;
  /** Time past the order's deadline that a sent call may take to end. */
  readonly graceMs: number;
  /** Upper bound of attempts under one claim while nothing was sent. */
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
