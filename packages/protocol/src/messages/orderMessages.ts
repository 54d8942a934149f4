/** Messages that route non-idempotent calls to the owner of their ledger shard. */

export interface OrderMessages {
  /** Placeholder body kept small: the order helper defines the hand-over. */
  orderHandOver: {readonly shard: number; readonly epoch: number};
}
