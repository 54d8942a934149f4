/** Hands the unsent orders of a shard over to its next owner. */
import type {Clock} from '@skylarkfield/base';
import type {ActiveOrder} from './activeOrder.js';
import type {OrderNetwork} from './orderRouter.js';
import type {Shard} from './shardContracts.js';
import {encodeOrder, type LedgerEntry} from './shardRecord.js';

/**
 * Upper bound of the total size of the request bodies that one hand-over adds
 * to a shard object; far below the platform's size limit for one value.
 */
const MAX_TOTAL_BODY_BYTES = 262_144;
const MAX_SUCCESSORS_TRIED = 3;
const REQUEST_TIMEOUT_MS = 2_000;

export interface HandOver {
  /**
   * Releases a shard and notifies its next owner, unless this process did not
   * own the shard or the release was refused.
   */
  transfer(shard: Shard): Promise<void>;
}

/**
 * Creates the hand-over of one process.
 *
 * Before an order is marked as `waiting` in the ledger, this process stops
 * sending it, and resumes only if the write of the mark has certainly failed:
 * the next owner may execute the order as soon as the mark is written. If this
 * process resumed after a lost response to the write, the order could be
 * executed twice.
 *
 * @example
 * await handOver.transfer(shard);
 */
export function createHandOver(options: {
  readonly clock: Clock;
  readonly network: OrderNetwork;
  /** Ids of the entries that may own a shard next, in order of preference. */
  readonly successors: (shard: number) => readonly string[];
  /** Largest request body that is stored in the ledger. */
  readonly maxBodyBytes: number;
  readonly activeOrders: () => readonly ActiveOrder[];
  /**
   * Called when the shard was lost during the hand-over: its new owner may have
   * the claim without the `waiting` mark. If the caller has disconnected, no
   * entry routes the order to the new owner, and a retry would get
   * `may-have-run`: the new owner must be notified that the claim is void.
   */
  readonly onDidVoidClaim: (order: ActiveOrder) => void;
  /** Called to run an order in this process if its hand-over was refused. */
  readonly resume: (order: ActiveOrder) => void;
}): HandOver {
  /**
   * Marks an order as waiting in the table, or removes its entry if its body is
   * too large. Returns the previous entry; undefined if the table does not
   * contain the order's claim. `bodyBudget` counts the bytes that may still be
   * added for bodies.
   */
  function markWaiting(
    shard: Shard,
    order: ActiveOrder,
    bodyBudget: {bytes: number},
  ): LedgerEntry | undefined {
    const {id, service, call} = order.request;
    const entry = shard.table.get(id);
    if (entry?.token !== order.token) {
      return undefined;
    }
    bodyBudget.bytes -= call.body.byteLength;
    if (call.body.byteLength > options.maxBodyBytes || bodyBudget.bytes < 0) {
      // The body is too large for the ledger: the claim becomes void and the
      // order is forwarded to the next owner instead.
      shard.table.remove(id);
      return entry;
    }
    const leftMs = order.deadline() - options.clock.now();
    const runBefore = options.clock.wall() + leftMs;
    const storedOrder = encodeOrder(service, call, runBefore);
    shard.table.put({...entry, state: 'waiting', order: storedOrder});
    return entry;
  }

  /** Returns true if this process has released or lost the shard. */
  async function release(
    shard: Shard,
    successor: string | undefined,
  ): Promise<boolean> {
    const suspendedOrders: Array<{
      order: ActiveOrder;
      claimEntry: LedgerEntry | undefined;
    }> = [];
    const bodyBudget = {bytes: MAX_TOTAL_BODY_BYTES};
    const result = await shard.release(() => {
      for (const order of options.activeOrders()) {
        if (
          order.shard === shard.index &&
          order.tryTransition('startHandOver')
        ) {
          suspendedOrders.push({
            order,
            claimEntry: markWaiting(shard, order, bodyBudget),
          });
        }
      }
    });
    const hasGivenUpShard = result === 'released' || result === 'lost';
    for (const {order, claimEntry} of suspendedOrders) {
      if (result === 'lost') {
        options.onDidVoidClaim(order);
      }
      if (hasGivenUpShard) {
        const {token} = order;
        const isWaiting = claimEntry !== undefined;
        order.complete({type: 'moved', member: successor, token, isWaiting});
        continue;
      }
      if (claimEntry !== undefined) {
        shard.table.put(claimEntry);
      }
      order.tryTransition('cancelHandOver');
      options.resume(order);
    }
    return hasGivenUpShard;
  }

  return {
    async transfer(shard) {
      const successors = options.successors(shard.index);
      const hasGivenUpShard = await release(shard, successors[0]);
      if (!hasGivenUpShard) {
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
          // If no successor responds, the orders wait in the ledger until some
          // entry takes the shard over.
        }
      }
    },
  };
}
