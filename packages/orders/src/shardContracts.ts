/** What a shard needs from its ledger and offers to it. */
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

/** Who can work on an order of the shard. */
export type Ownership =
  | {readonly type: 'owned'}
  | {readonly type: 'elsewhere'; readonly member: string};

/**
 * `released`: given up with the changes written; what they handed over may run
 * elsewhere. `lost`: another process took the shard before, so that the changes
 * may be in no ledger; given up as well. `refused`: certainly nothing was
 * written. `unowned`: there was nothing to give up.
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
  /** The least time between the starts of two writes. */
  readonly minWriteIntervalMs: number;
  /** How long outcomes may wait for a write that carries claims as well. */
  readonly outcomeDelayMs: number;
  readonly dedupeWindowMs: number;
  /** Size of the shard's object from which ended entries move into a segment. */
  readonly sealBytes: number;
  /** How long a deposed owner leaves the shard to its new one. */
  readonly holdOffMs: number;
  readonly isReachable: (member: string) => boolean;
  /** The claim is in the ledger: the order may be dispatched. */
  readonly onDidClaim: (order: ActiveOrder) => void;
  /** The shard was lost, and its new owner may not know these outcomes. */
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
  /** Owns the shard, or tells who does. Throws `platform-unavailable`. */
  acquire(): Promise<Ownership>;
  /** Puts an order into the next write. */
  enqueue(order: ActiveOrder): void;
  /** An outcome has changed the table: write it soon. */
  scheduleWrite(outcome: ClaimOutcome): void;
  /** Size of all entries that are still within the dedupe window. */
  liveBytes(): number;
  /** Voids a claim that was never sent. */
  voidClaim(order: ActiveOrder): void;
  /** Ends the orders that have no claim yet; nothing of them was sent. */
  rejectUnclaimed(error: ServingError): void;
  /** Changes the table, writes it and gives the shard up. */
  release(changes: () => void): Promise<ReleaseResult>;
  dump(): unknown;
}
