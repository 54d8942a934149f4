/** Messages that bring non-idempotent calls to the owner of their ledger shard, and outcomes back into it. */
import type {ErrorKind, RunState} from '@skylarkfield/base';

/** A call as it travels between entries. */
export interface ForwardedCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** A service's reply as it travels between entries. */
export interface ForwardedReply {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Undefined when the reply was too large for the ledger. */
  readonly body: Uint8Array | undefined;
}

/** Answer to `orderForward`. */
export type ForwardAnswer =
  | {
      readonly type: 'reply';
      readonly reply: ForwardedReply & {readonly body: Uint8Array};
      readonly isReplay: boolean;
    }
  | {
      readonly type: 'error';
      readonly kind: ErrorKind;
      readonly message: string;
      readonly run: RunState;
      readonly retryAfterMs?: number;
    }
  /** The shard is owned elsewhere; nothing of the order was sent here, and nothing will be. */
  | {
      readonly type: 'elsewhere';
      readonly member: string;
      /** The claim that was made here and is void. */
      readonly released?: string;
      /** Whether the order waits in the ledger, where the next owner runs it. */
      readonly isWaiting?: boolean;
    };

/**
 * How a claim ended. `released`: never sent and never will be, so the claim is
 * void; `unknown`: sent, and the reply was lost.
 */
export type ClaimOutcome =
  | {
      readonly state: 'settled';
      readonly id: string;
      readonly token: string;
      readonly reply: ForwardedReply;
    }
  | {
      readonly state: 'unknown' | 'released';
      readonly id: string;
      readonly token: string;
    };

export interface OrderMessages {
  /** An order for the owner of its shard; answered with a `ForwardAnswer`. */
  orderForward: {
    /** Digest of customer and key, or a random id for an order without key. */
    readonly id: string;
    readonly print: string;
    /** Unique for each forwarding, so that a second delivery is not a second order. */
    readonly attempt: string;
    readonly service: string;
    readonly call: ForwardedCall;
    /** Milliseconds that are left to answer in. */
    readonly leftMs: number;
    /** The sender's wall clock, to drop what lay unread for very long. */
    readonly sentAtWall: number;
    /** Claims for this id that the sender holds void: never sent, never will be. */
    readonly released: readonly string[];
  };
  /** Outcomes of claims in shards that the sender does not own; the receiver brings them into the ledger. */
  orderOutcomes: {
    readonly shard: number;
    /** How often the outcomes have been passed on. */
    readonly hops: number;
    readonly outcomes: readonly ClaimOutcome[];
  };
  /** Asks the entry that made a claim how it ended; answered with a `ClaimOutcome`, or undefined. */
  orderOutcomeWanted: {readonly id: string; readonly token: string};
  /**
   * The sender has released a shard; the receiver takes it over and runs what
   * waits in it. The epoch is in the ledger. Earlier releases send a field
   * `epoch` here that is always 0, so that name is taken.
   */
  orderHandOver: {readonly shard: number};
}
