/** Messages that forward non-idempotent calls and outcomes to shard owners. */
import type {ErrorKind, RunState} from '@skylarkfield/base';

/** A call forwarded between entries. */
export interface ForwardedCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** A service's reply forwarded between entries. */
export interface ForwardedReply {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Undefined if the reply was too large for the ledger. */
  readonly body: Uint8Array | undefined;
  /** Whether only the close of the connection marked the end of the body. */
  readonly isEndUnmarked?: boolean;
}

/** Response to `orderForward`. */
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
  /** Another member owns the shard; the responder never sends the order. */
  | {
      readonly type: 'elsewhere';
      readonly member: string;
      /** Token of the claim that the responder made and voided. */
      readonly released?: string;
      /** Whether the order is queued in the ledger for the next owner. */
      readonly isWaiting?: boolean;
    };

/**
 * Outcome of a claim. `released`: the order was not and will not be sent, so
 * the claim is void; `unknown`: it was sent and the reply was lost.
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
  /** Forwards an order to the owner of its shard. Response: `ForwardAnswer`. */
  orderForward: {
    /** Digest of customer and idempotency key; a random id without a key. */
    readonly id: string;
    /** Digest of the service and the fingerprint of the call. */
    readonly print: string;
    /** Unique id of each forwarding, to deduplicate deliveries. */
    readonly attempt: string;
    readonly service: string;
    readonly call: ForwardedCall;
    /** Remaining time to respond, in milliseconds. */
    readonly leftMs: number;
    /** Wall-clock milliseconds when sent, to drop messages read much later. */
    readonly sentAtWall: number;
    /** Tokens of void claims on the order, whose calls are never sent. */
    readonly released: readonly string[];
  };
  /**
   * Outcomes of claims in a shard that the sender does not own; the receiver
   * records them in the ledger.
   */
  orderOutcomes: {
    readonly shard: number;
    /** Number of times that the outcomes have been forwarded. */
    readonly hops: number;
    readonly outcomes: readonly ClaimOutcome[];
  };
  /** Requests a claim's outcome. Response: `ClaimOutcome` or undefined. */
  orderOutcomeWanted: {readonly id: string; readonly token: string};
  /**
   * The sender released a shard; the receiver takes it over and runs its queued
   * orders. The epoch is in the ledger. The field name `epoch` is reserved:
   * earlier releases send it in this message, always as 0.
   */
  orderHandOver: {readonly shard: number};
}
