/** Hands the orders that were not sent yet over to a shard's next owner. */
import type {Clock} from '@skylarkfield/base';
import type {Flight} from './flight.js';
import type {OrderNetwork} from './orderRoute.js';
import type {Shard} from './shardContracts.js';
import {storeOrder, type LedgerEntry} from './shardRecord.js';

/** All bodies in one shard's object together, so that it stays far below what the platform takes. */
const MAX_TOTAL_BYTES = 262_144;
const MAX_SUCCESSORS_ASKED = 3;
const ASK_TIMEOUT_MS = 2_000;

export interface HandOver {
  /** Gives a shard up and asks its next owner to take it; does nothing more when it could not be given up. */
  pass(shard: Shard): Promise<void>;
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
  readonly maxBytes: number;
  readonly flights: () => readonly Flight[];
  /**
   * The mark of an order may be in no ledger, and its claim in the new owner's
   * though it was never sent. When its caller has hung up nobody brings it
   * along, and a retry would hear that it may have run: the owner must be told.
   */
  readonly onDidVoid: (flight: Flight) => void;
  /** Goes on with an order whose hand-over was not written. */
  readonly rerun: (flight: Flight) => void;
}): HandOver {
  /** Marks an order in the table; returns the claim as it was. */
  function mark(
    shard: Shard,
    flight: Flight,
    budget: {bytes: number},
  ): LedgerEntry | undefined {
    const {id, service, call} = flight.request;
    const entry = shard.table.get(id);
    if (entry?.token !== flight.token) {
      return undefined;
    }
    budget.bytes -= call.body.byteLength;
    if (call.body.byteLength > options.maxBytes || budget.bytes < 0) {
      // The claim is voided; the order goes to the next owner over the inner protocol.
      shard.table.remove(id);
      return entry;
    }
    const leftMs = flight.deadline() - options.clock.now();
    const runBefore = options.clock.wall() + leftMs;
    const order = storeOrder(service, call, runBefore);
    shard.table.put({...entry, state: 'waiting', order});
    return entry;
  }

  /** True when the shard is free for its next owner. */
  async function release(
    shard: Shard,
    successor: string | undefined,
  ): Promise<boolean> {
    const held: Array<{flight: Flight; claim: LedgerEntry | undefined}> = [];
    const budget = {bytes: MAX_TOTAL_BYTES};
    const result = await shard.release(() => {
      for (const flight of options.flights()) {
        if (flight.shard === shard.index && flight.tell('hold')) {
          held.push({flight, claim: mark(shard, flight, budget)});
        }
      }
    });
    const isGivenUp = result === 'released' || result === 'lost';
    for (const {flight, claim} of held) {
      if (result === 'lost') {
        options.onDidVoid(flight);
      }
      if (isGivenUp) {
        const {token} = flight;
        const isWaiting = claim !== undefined;
        flight.end({type: 'moved', member: successor, token, isWaiting});
        continue;
      }
      if (claim !== undefined) {
        shard.table.put(claim);
      }
      flight.tell('unhold');
      options.rerun(flight);
    }
    return isGivenUp;
  }

  return {
    async pass(shard) {
      const successors = options.successors(shard.index);
      const isReleased = await release(shard, successors[0]);
      if (!isReleased) {
        return;
      }
      const body = {shard: shard.index};
      for (const successor of successors.slice(0, MAX_SUCCESSORS_ASKED)) {
        try {
          await options.network.ask(
            successor,
            'orderHandOver',
            body,
            ASK_TIMEOUT_MS,
          );
          return;
        } catch {
          // The next one is asked: orders wait in the shard for whoever takes it.
        }
      }
    },
  };
}
