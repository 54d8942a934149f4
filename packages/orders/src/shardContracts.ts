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

/** The entry that can execute orders of the shard. */
export type Ownership =
  | {readonly type: 'owned'}
  | {readonly type: 'elsewhere'; readonly member: string};

/**
 * `released`: the changes are written, and what they hand over may run
 * elsewhere. `lost`: another process took the shard over first, so that the
 * changes may not be in the ledger; ownership is gone as well. `refused`:
 * certainly nothing was written, the shard is still owned. `unowned`: the
 * shard was not owned.
 */
export type ReleaseResult = 'released' | 'lost' | 'refused' | 'unowned';

export interface ShardOptions {
  readonly index: number;
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly decisions?: DecisionLog;
  readonly member: string;
  /** Unique for each start of a process. */
  readonly instance: string;
  /** Minimum time between the starts of two writes. */
  readonly minWriteIntervalMs: number;
  /** How long outcomes may wait for a write that commits claims as well. */
  readonly outcomeDelayMs: number;
  readonly dedupeWindowMs: number;
  /** Size of a shard object from which ended orders are moved into segments. */
  readonly sealThresholdBytes: number;
  /** How long a deposed owner leaves the shard to the new one. */
  readonly holdOffMs: number;
  readonly isReachable: (member: string) => boolean;
  /** The claim is in the ledger: the order may be dispatched. */
  readonly onDidClaim: (order: ActiveOrder) => void;
  /** The shard was lost, and its new owner may not have these outcomes. */
  readonly onDidLose: (outcomes: readonly ClaimOutcome[]) => void;
  /** The shard was taken over with these entries. */
  readonly onDidTakeOver: (entries: readonly LedgerEntry[]) => void;
}

export interface Shard extends Disposable {
  readonly index: number;
  readonly table: ShardTable;
  state(): ShardState;
  /** True while claims can be committed. */
  isOwned(): boolean;
  /** Acquires the shard or names its owner. Throws `platform-unavailable`. */
  acquire(): Promise<Ownership>;
  /** Queues an order for the next write. */
  enqueue(order: ActiveOrder): void;
  /** Schedules a write for an outcome that has changed the table. */
  enqueueOutcome(outcome: ClaimOutcome): void;
  /** Size of all entries that are still within the dedupe window. */
  liveBytes(): number;
  /** Voids a claim that was never sent. */
  voidClaim(order: ActiveOrder): void;
  /** Ends the orders that have no claim yet; they were not sent. */
  rejectUnclaimed(error: ServingError): void;
  /** Applies the changes to the table, writes it and releases the shard. */
  release(applyChanges: () => void): Promise<ReleaseResult>;
  dump(): unknown;
}
