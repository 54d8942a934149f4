/** Orders in the shards that this process owns: look-up, new claims, outcomes. */
import {
  ServingError,
  sleep,
  toServingError,
  type Clock,
  type Random,
} from '@skylarkfield/base';
import type {ObjectStore} from '@skylarkfield/providers';
import type {ClaimOutcome} from '@skylarkfield/protocol';
import {
  createFlight,
  type Flight,
  type FlightResult,
  type OrderRequest,
} from './flight.js';
import {answerLost, keyConflict, knownAnswer, refusal} from './knownAnswers.js';
import {shardOf} from './orderIdentity.js';
import type {OrderResult} from './orderAnswers.js';
import type {RunOutcome} from './orderRunner.js';
import type {Shard} from './shardContracts.js';
import {readCall, storeReply, type LedgerEntry} from './shardRecord.js';

export interface LocalOrders {
  /** Works on an order if its shard is or can be owned here. */
  work(request: OrderRequest, signal: AbortSignal): Promise<OrderResult>;
  /** Takes up the orders that wait in a shard just taken over. */
  adopt(shard: Shard, entries: readonly LedgerEntry[]): readonly Flight[];
  /** Notes how a claim ended; false when its shard is not owned here. */
  note(shard: Shard, outcome: ClaimOutcome): boolean;
  /** The flight of an order in this process. */
  flight(id: string): Flight | undefined;
  flights(): readonly Flight[];
}

export interface LocalOrdersOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly shards: readonly Shard[];
  readonly maxReplyBytes: number;
  readonly maxShardBytes: number;
  readonly retryAfterMs: number;
  /** The claim is void: the order was given up or moved, and was not and will not be sent under it. */
  readonly onDidVoid: (flight: Flight) => void;
  /** Asks the entry that made a claim how it ended. */
  readonly askClaimer: (
    entry: LedgerEntry,
    deadline: number,
  ) => Promise<ClaimOutcome | undefined>;
}

/** Replies may fill a shard beyond the size at which it refuses orders; above this they are not kept. */
const MAX_OVERFILL = 1.25;
const MAX_EXPIRY_WAIT_MS = 60_000;

/**
 * Makes the orders of one process.
 *
 * @example
 * const result = await orders.work(request, signal);
 */
export function createLocalOrders(options: LocalOrdersOptions): LocalOrders {
  const {store, clock, shards} = options;
  const flights = new Map<string, Flight>();

  function addFlight(flight: Flight): void {
    flights.set(flight.request.id, flight);
    void flight.done.then(result => {
      // At once, not when its write is decided: the next owner may find the claim and ask before that.
      if (flight.token !== '' && isUnsent(result)) {
        options.onDidVoid(flight);
      }
      if (flights.get(flight.request.id) === flight) {
        flights.delete(flight.request.id);
      }
    });
  }

  function shardFor(id: string): Shard {
    return shards[shardOf(id, shards.length)] as Shard;
  }

  async function work(
    request: OrderRequest,
    signal: AbortSignal,
  ): Promise<OrderResult> {
    const shard = shardFor(request.id);
    const running = flights.get(request.id);
    if (running !== undefined) {
      return joinFlight(running, request, signal);
    }
    let ownership;
    try {
      ownership = await shard.own();
    } catch (error) {
      return refusal(withRetryAfter(toServingError(error)));
    }
    if (ownership.type === 'elsewhere') {
      return ownership;
    }
    return workOwned(shard, request, signal);
  }

  async function workOwned(
    shard: Shard,
    request: OrderRequest,
    signal: AbortSignal,
  ): Promise<OrderResult> {
    // Another copy of the order may have come while the shard was taken over.
    const running = flights.get(request.id);
    if (running !== undefined) {
      return joinFlight(running, request, signal);
    }
    dropReleased(shard, request);
    const entry = shard.table.get(request.id);
    if (entry !== undefined) {
      return answerKnown(shard, entry, request, signal);
    }
    const error = refuseNew(shard);
    if (error !== undefined) {
      return refusal(error);
    }
    const flight = createFlight(request, shard.index, clock);
    addFlight(flight);
    const result = joinFlight(flight, request, signal);
    shard.enqueue(flight);
    return result;
  }

  /** Voids the claims that their maker holds void, so that the order can be claimed anew. */
  function dropReleased(shard: Shard, request: OrderRequest): void {
    for (const token of request.released) {
      note(shard, {state: 'released', id: request.id, token});
    }
  }

  function refuseNew(shard: Shard): ServingError | undefined {
    if (store.state() === 'down') {
      return withRetryAfter(
        new ServingError(
          'platform-unavailable',
          'orders cannot be kept safe while the platform is down',
        ),
      );
    }
    if (shard.liveBytes() < options.maxShardBytes) {
      return undefined;
    }
    return new ServingError('overloaded', 'the order ledger is full', {
      run: 'not-run',
      retryAfterMs: Math.min(MAX_EXPIRY_WAIT_MS, shard.table.untilExpiry()),
    });
  }

  /** Callers that come back all at once would be the next outage: the wait is spread. */
  function withRetryAfter(error: ServingError): ServingError {
    if (error.retryAfterMs !== undefined) {
      return error;
    }
    const retryAfterMs = options.retryAfterMs * (1 + options.random.next());
    return new ServingError(error.kind, error.message, {
      run: error.run,
      retryAfterMs: Math.round(retryAfterMs),
      cause: error,
    });
  }

  async function joinFlight(
    flight: Flight,
    request: OrderRequest,
    signal: AbortSignal,
  ): Promise<OrderResult> {
    if (flight.request.print !== request.print) {
      return conflictWith(flight, request, signal);
    }
    try {
      const result = await flight.join(request.deadline, signal);
      const isFirst = flight.request === request;
      return result.type === 'reply' && !isFirst
        ? {...result, isReplay: true}
        : result;
    } catch (error) {
      return refusal(toServingError(error));
    }
  }

  /** A claim that is not in the ledger yet may lose against another: no conflict is certain before. */
  async function conflictWith(
    flight: Flight,
    request: OrderRequest,
    signal: AbortSignal,
  ): Promise<OrderResult> {
    if (flight.isDecided()) {
      return refusal(keyConflict());
    }
    const leftMs = request.deadline - clock.now();
    const timeout = new AbortController();
    await Promise.race([
      flight.decided,
      sleep(clock, leftMs, timeout.signal).catch(() => undefined),
    ]);
    timeout.abort();
    if (clock.now() < request.deadline) {
      return work(request, signal);
    }
    return refusal(
      new ServingError('deadline-exceeded', 'the deadline passed', {
        run: 'not-run',
      }),
    );
  }

  async function answerKnown(
    shard: Shard,
    entry: LedgerEntry,
    request: OrderRequest,
    signal: AbortSignal,
  ): Promise<OrderResult> {
    if (entry.print !== request.print) {
      return refusal(keyConflict());
    }
    if (entry.state !== 'claimed') {
      return knownAnswer(entry);
    }
    const outcome = await options.askClaimer(entry, request.deadline);
    if (outcome !== undefined) {
      note(shard, outcome);
    }
    if (!shard.isOwned()) {
      return answerLost(entry, outcome);
    }
    const now = shard.table.get(request.id);
    if (now === undefined || flights.has(request.id)) {
      // The claim was void, or another copy of the order has claimed it anew meanwhile.
      return workOwned(shard, request, signal);
    }
    return knownAnswer(now);
  }

  function adopt(
    shard: Shard,
    entries: readonly LedgerEntry[],
  ): readonly Flight[] {
    const adopted: Flight[] = [];
    for (const entry of entries) {
      if (entry.state !== 'waiting' || entry.order === undefined) {
        continue;
      }
      const leftMs = entry.order.runBefore - clock.wall();
      if (leftMs <= 0) {
        // Nobody has claimed it and its deadline has passed: a retry starts anew.
        shard.table.remove(entry.id);
        continue;
      }
      const flight = createFlight(
        {
          id: entry.id,
          print: entry.print,
          service: entry.order.service,
          call: readCall(entry.order),
          deadline: clock.now() + leftMs,
          released: [],
        },
        shard.index,
        clock,
        'ledger',
      );
      addFlight(flight);
      shard.enqueue(flight);
      adopted.push(flight);
    }
    return adopted;
  }

  function note(shard: Shard, outcome: ClaimOutcome): boolean {
    if (!shard.isOwned()) {
      return false;
    }
    const entry = shard.table.get(outcome.id);
    // Another claim for the key, or one that was handed over, is not this outcome's to change.
    if (entry?.token !== outcome.token || entry.state === 'waiting') {
      return true;
    }
    if (entry.state === 'settled') {
      return true;
    }
    applyOutcome(shard, entry, outcome);
    shard.touch(outcome);
    return true;
  }

  function applyOutcome(
    shard: Shard,
    entry: LedgerEntry,
    outcome: ClaimOutcome,
  ): void {
    if (outcome.state !== 'settled') {
      settleWithoutReply[outcome.state](shard, entry);
      return;
    }
    const isFull = shard.table.bytes > MAX_OVERFILL * options.maxShardBytes;
    const maxBytes = isFull ? 0 : options.maxReplyBytes;
    const reply = storeReply(outcome.reply, maxBytes);
    shard.table.put({...entry, state: 'settled', reply});
  }

  return {
    work,
    adopt,
    note,
    flight: id => flights.get(id),
    flights: () => [...flights.values()],
  };
}

/**
 * Turns the outcome of a run into the message about its claim.
 *
 * @example
 * orders.note(shard, claimOutcome(flight, {state: 'unknown'}));
 */
export function claimOutcome(
  flight: Flight,
  outcome: RunOutcome,
): ClaimOutcome {
  const {id} = flight.request;
  const {token} = flight;
  if (outcome.state === 'settled') {
    return {state: 'settled', id, token, reply: outcome.reply};
  }
  return {state: outcome.state, id, token};
}

const settleWithoutReply = {
  released: (shard: Shard, entry: LedgerEntry) => shard.table.remove(entry.id),
  unknown: (shard: Shard, entry: LedgerEntry) =>
    shard.table.put({...entry, state: 'unknown'}),
};

function isUnsent(result: FlightResult): boolean {
  return (
    result.type === 'moved' ||
    (result.type === 'error' && result.error.run === 'not-run')
  );
}
