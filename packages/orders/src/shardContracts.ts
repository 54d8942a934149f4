/** Contracts between a shard and its ledger. */
import type {
  Clock,
  DecisionLog,
  Disposable,
  ServingError,
} from '@skylarkfield/base';
import type {ObjectStore} from '@skylarkfield/providers';
import type {ClaimOutcome} from '@skylarkfield/protocol';
import type {ActiveOrder} from './activeOrder.js';
import type {ShardState} from './shardMachine.js';
import type {LedgerEntry} from './shardRecord.js';
import type {ShardTable} from './shardTable.js';

/** Whether this process owns a shard, and if not, which entry does. */
export type Ownership =
  | {readonly type: 'owned'}
  | {readonly type: 'elsewhere'; readonly member: string};

/**
 * `released`: the changes are written, and the next owner may run the orders
 * that they hand over. `lost`: another process took the shard over first, so
 * the changes may not be in the ledger, and this process no longer owns the
 * shard. `refused`: certainly nothing was written, and this process still owns
 * the shard. `unowned`: this process did not own the shard.
 */
export type ReleaseResult = 'released' | 'lost' | 'refused' | 'unowned';

export interface ShardOptions {
  readonly index: number;
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly decisions?: DecisionLog;
  readonly member: string;
  /** Unique for each start of a process. */
  readonly instanceId: string;
  /** Minimum time between the starts of two writes of the shard. */
  readonly minWriteIntervalMs: number;
  /** Maximum time a claim outcome waits for a write that commits claims. */
  readonly outcomeDelayMs: number;
  readonly dedupeWindowMs: number;
  /** Size of a shard object at which ended orders are moved into segments. */
  readonly sealThresholdBytes: number;
  /** How long a process that lost the shard leaves it to its new owner. */
  readonly holdOffMs: number;
  readonly isReachable: (member: string) => boolean;
  /** Called when a claim is in the ledger, so the order may be dispatched. */
  readonly onDidClaim: (order: ActiveOrder) => void;
  /** Called when the shard is lost, with outcomes the new owner may lack. */
  readonly onDidLose: (outcomes: readonly ClaimOutcome[]) => void;
  /** Called after a take-over, with the entries of the shard object. */
  readonly onDidTakeOver: (entries: readonly LedgerEntry[]) => void;
}

export interface Shard extends Disposable {
  readonly index: number;
  readonly table: ShardTable;
  state(): ShardState;
  /** True while this process owns the shard, in state `owned` or `bound`. */
  isOwned(): boolean;
  /**
   * Takes over the shard if this process does not own it. During the hold-off
   * time, and after another process has changed the shard during an attempt,
   * returns the current owner instead if it is a reachable peer.
   *
   * Throws `platform-unavailable` if the platform can't be reached, the shard
   * has a newer format, or every attempt met a change by another process.
   */
  acquire(): Promise<Ownership>;
  /** Queues an order; the next write commits its claim. */
  enqueue(order: ActiveOrder): void;
  /** Schedules a write for an outcome that is already in the table. */
  enqueueOutcome(outcome: ClaimOutcome): void;
  /** Serialized size of all entries within the dedupe window. */
  unexpiredBytes(): number;
  /** Voids the claim of an order that was not sent. */
  voidClaim(order: ActiveOrder): void;
  /** Completes the orders whose claim is not committed yet with an error. */
  rejectUnclaimed(error: ServingError): void;
  /** Applies changes to the table, writes the table and releases the shard. */
  release(applyChanges: () => void): Promise<ReleaseResult>;
  dump(): unknown;
}
