/** Hands the unsent orders of a shard over to its next owner. */
import type {Clock} from '@skylarkfield/base';
import type {ActiveOrder} from './activeOrder.js';
import type {OrderNetwork} from './orderRouter.js';
import type {Shard} from './shardContracts.js';
import {encodeOrder, type LedgerEntry} from './shardRecord.js';

/** For all bodies in a shard object; far below the platform's size limit. */
const MAX_TOTAL_BODY_BYTES = 262_144;
const MAX_SUCCESSORS_TRIED = 3;
const REQUEST_TIMEOUT_MS = 2_000;

export interface HandOver {
  /** Releases a shard and, if that succeeded, notifies its next owner. */
  transfer(shard: Shard): Promise<void>;
}

/**
 * Creates the hand-over of one process.
 *
 * An order is blocked from being sent here before it is marked as `waiting` in
 * the ledger, until that write has certainly failed: the next owner may execute
 * it as soon as the mark is there. Otherwise a lost response to the write would
 * execute the order twice.
 *
 * @example
 * await handOver.transfer(shard);
 */
export function createHandOver(options: {
  readonly clock: Clock;
  readonly network: OrderNetwork;
  /** Ids of the entries that may own a shard next, in order of preference. */
  readonly successors: (shard: number) => readonly string[];
  /** Upper bound of a body that is stored in the ledger. */
  readonly maxBodyBytes: number;
  readonly activeOrders: () => readonly ActiveOrder[];
  /**
   * The shard was lost during the hand-over: its new owner may have the claim
   * without the `waiting` mark. If the caller has disconnected, nobody routes
   * the order there, and a retry would get `may-have-run`: the owner must be
   * notified that the claim is void.
   */
  readonly onDidVoidClaim: (order: ActiveOrder) => void;
  /** Continues with an order whose hand-over was not written. */
  readonly resume: (order: ActiveOrder) => void;
}): HandOver {
  /** Marks an order as waiting in the table; returns its old ledger entry. */
  function markWaiting(
    shard: Shard,
    order: ActiveOrder,
    budget: {bytes: number},
  ): LedgerEntry | undefined {
    const {id, service, call} = order.request;
    const entry = shard.table.get(id);
    if (entry?.token !== order.token) {
      return undefined;
    }
    budget.bytes -= call.body.byteLength;
    if (call.body.byteLength > options.maxBodyBytes || budget.bytes < 0) {
      // The order is forwarded to the next owner instead; its claim is void.
      shard.table.remove(id);
      return entry;
    }
    const leftMs = order.deadline() - options.clock.now();
    const runBefore = options.clock.wall() + leftMs;
    const storedOrder = encodeOrder(service, call, runBefore);
    shard.table.put({...entry, state: 'waiting', order: storedOrder});
    return entry;
  }

  /** Returns true when the next owner can take the shard over. */
  async function release(
    shard: Shard,
    successor: string | undefined,
  ): Promise<boolean> {
    const suspended: Array<{
      order: ActiveOrder;
      claim: LedgerEntry | undefined;
    }> = [];
    const budget = {bytes: MAX_TOTAL_BODY_BYTES};
    const result = await shard.release(() => {
      for (const order of options.activeOrders()) {
        if (
          order.shard === shard.index &&
          order.tryTransition('startHandOver')
        ) {
          suspended.push({order, claim: markWaiting(shard, order, budget)});
        }
      }
    });
    const isShardReleased = result === 'released' || result === 'lost';
    for (const {order, claim} of suspended) {
      if (result === 'lost') {
        options.onDidVoidClaim(order);
      }
      if (isShardReleased) {
        const {token} = order;
        const isWaiting = claim !== undefined;
        order.complete({type: 'moved', member: successor, token, isWaiting});
        continue;
      }
      if (claim !== undefined) {
        shard.table.put(claim);
      }
      order.tryTransition('cancelHandOver');
      options.resume(order);
    }
    return isShardReleased;
  }

  return {
    async transfer(shard) {
      const successors = options.successors(shard.index);
      const isReleased = await release(shard, successors[0]);
      if (!isReleased) {
        return;
      }
      const body = {shard: shard.index};
      for (const successor of successors.slice(0, MAX_SUCCESSORS_TRIED)) {
        try {
          await options.network.request(
            successor,
            'orderHandOver',
            body,
            REQUEST_TIMEOUT_MS,
          );
          return;
        } catch {
          // The orders stay in the shard for whichever entry takes it over.
        }
      }
    },
  };
}
