/** Hands the orders that were not sent yet over to a shard's next owner. */
import type {Clock} from '@skylarkfield/base';
import type {ActiveOrder} from './activeOrder.js';
import type {OrderNetwork} from './orderRouter.js';
import type {Shard} from './shardContracts.js';
import {encodeOrder, type LedgerEntry} from './shardRecord.js';

/** All bodies in one shard's object together, so that it stays far below what the platform takes. */
const MAX_TOTAL_BODY_BYTES = 262_144;
const MAX_SUCCESSORS_NOTIFIED = 3;
const REQUEST_TIMEOUT_MS = 2_000;

export interface HandOver {
  /** Gives a shard up and asks its next owner to take it; does nothing more when it could not be given up. */
  transfer(shard: Shard): Promise<void>;
}

/**
 * Makes the hand-over of one process.
 *
 * An order must be barred from being sent here before the mark in the ledger is
 * written, and stays barred until it is certain that the mark was not written:
 * the next owner may run it from the moment the mark is there. Else a lost
 * reply to the mark would double the order.
 *
 * @example
 * await handOver.pass(shard);
 */
export function createHandOver(options: {
  readonly clock: Clock;
  readonly network: OrderNetwork;
  /** Entries that may own a shard next, the preferred one first. */
  readonly successors: (shard: number) => readonly string[];
  /** The largest body that goes into the ledger. */
  readonly maxBodyBytes: number;
  readonly activeOrders: () => readonly ActiveOrder[];
  /**
   * The mark of an order may be in no ledger, and its claim in the new owner's
   * though it was never sent. When its caller has hung up nobody brings it
   * along, and a retry would hear that it may have run: the owner must be told.
   */
  readonly onDidVoidClaim: (order: ActiveOrder) => void;
  /** Goes on with an order whose hand-over was not written. */
  readonly resume: (order: ActiveOrder) => void;
}): HandOver {
  /** Marks an order in the table; returns the claim as it was. */
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
      // The claim is voided; the order goes to the next owner over the inner protocol.
      shard.table.remove(id);
      return entry;
    }
    const leftMs = order.deadline() - options.clock.now();
    const runBefore = options.clock.wall() + leftMs;
    const storedOrder = encodeOrder(service, call, runBefore);
    shard.table.put({...entry, state: 'waiting', order: storedOrder});
    return entry;
  }

  /** True when the shard is free for its next owner. */
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
      for (const successor of successors.slice(0, MAX_SUCCESSORS_NOTIFIED)) {
        try {
          await options.network.ask(
            successor,
            'orderHandOver',
            body,
            REQUEST_TIMEOUT_MS,
          );
          return;
        } catch {
          // The next one is asked: orders wait in the shard for whoever takes it.
        }
      }
    },
  };
}
