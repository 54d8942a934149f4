/** Orders in the shards of this process: lookup, new claims, outcomes. */
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
  createActiveOrder,
  type ActiveOrder,
  type OrderCompletion,
  type OrderRequest,
} from './activeOrder.js';
import {
  resultAfterShardLoss,
  keyConflictError,
  resultFromLedger,
  errorResult,
} from './ledgerResults.js';
import {shardIndexOf} from './orderIdentity.js';
import type {ExecuteResult} from './forwardAnswer.js';
import type {RunOutcome} from './orderRunner.js';
import type {Shard} from './shardContracts.js';
import {decodeCall, encodeReply, type LedgerEntry} from './shardRecord.js';

export interface LocalOrders {
  /** Executes an order if this process owns its shard or can acquire it. */
  execute(request: OrderRequest, signal: AbortSignal): Promise<ExecuteResult>;
  /**
   * Queues the `waiting` orders of a shard that was just taken over and returns
   * them; removes those past their deadline.
   */
  adoptOrders(
    shard: Shard,
    entries: readonly LedgerEntry[],
  ): readonly ActiveOrder[];
  /**
   * Records the outcome of a claim; returns false when this process does not
   * own the shard.
   */
  recordOutcome(shard: Shard, outcome: ClaimOutcome): boolean;
  /** The active order with this id; undefined if this process has none. */
  activeOrder(id: string): ActiveOrder | undefined;
  activeOrders(): readonly ActiveOrder[];
}

export interface LocalOrdersOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly shards: readonly Shard[];
  readonly maxReplyBytes: number;
  readonly maxShardBytes: number;
  readonly retryAfterMs: number;
  /** Called when a claimed order was cancelled or moved before it was sent. */
  readonly onDidVoidClaim: (order: ActiveOrder) => void;
  /** Queries the entry that made a claim for the outcome of the claim. */
  readonly queryClaimant: (
    entry: LedgerEntry,
    deadline: number,
  ) => Promise<ClaimOutcome | undefined>;
}

/** Multiple of `maxShardBytes` above which reply bodies are not stored. */
const MAX_OVERFILL_RATIO = 1.25;
const MAX_RETRY_AFTER_MS = 60_000;

/**
 * Creates the component that executes orders in one process.
 *
 * @example
 * const result = await orders.execute(request, signal);
 */
export function createLocalOrders(options: LocalOrdersOptions): LocalOrders {
  const {store, clock, shards} = options;
  const activeOrders = new Map<string, ActiveOrder>();

  function addActiveOrder(order: ActiveOrder): void {
    activeOrders.set(order.request.id, order);
    void order.completion.then(result => {
      // Called even while the claim is still being written: the next owner of
      // the shard may already query this process for the outcome.
      if (order.token !== '' && isCertainlyUnsent(result)) {
        options.onDidVoidClaim(order);
      }
      if (activeOrders.get(order.request.id) === order) {
        activeOrders.delete(order.request.id);
      }
    });
  }

  function shardFor(id: string): Shard {
    return shards[shardIndexOf(id, shards.length)] as Shard;
  }

  async function execute(
    request: OrderRequest,
    signal: AbortSignal,
  ): Promise<ExecuteResult> {
    const shard = shardFor(request.id);
    const activeOrderWithId = activeOrders.get(request.id);
    if (activeOrderWithId !== undefined) {
      return joinActiveOrder(activeOrderWithId, request, signal);
    }
    let ownership;
    try {
      ownership = await shard.acquire();
    } catch (error) {
      return errorResult(withRetryAfter(toServingError(error)));
    }
    if (ownership.type === 'elsewhere') {
      return ownership;
    }
    return executeInOwnedShard(shard, request, signal);
  }

  async function executeInOwnedShard(
    shard: Shard,
    request: OrderRequest,
    signal: AbortSignal,
  ): Promise<ExecuteResult> {
    // The same order may have arrived again while the shard was being acquired.
    const activeOrderWithId = activeOrders.get(request.id);
    if (activeOrderWithId !== undefined) {
      return joinActiveOrder(activeOrderWithId, request, signal);
    }
    voidReleasedClaims(shard, request);
    const entry = shard.table.get(request.id);
    if (entry !== undefined) {
      return answerFromEntry(shard, entry, request, signal);
    }
    const error = admissionError(shard);
    if (error !== undefined) {
      return errorResult(error);
    }
    const order = createActiveOrder(request, shard.index, clock);
    addActiveOrder(order);
    const result = joinActiveOrder(order, request, signal);
    shard.enqueue(order);
    return result;
  }

  /**
   * Removes claims that the request reports as void, so that the order can be
   * claimed again.
   */
  function voidReleasedClaims(shard: Shard, request: OrderRequest): void {
    for (const token of request.releasedTokens) {
      recordOutcome(shard, {state: 'released', id: request.id, token});
    }
  }

  function admissionError(shard: Shard): ServingError | undefined {
    if (store.state() === 'down') {
      return withRetryAfter(
        new ServingError(
          'platform-unavailable',
          'orders cannot be recorded while the platform is down',
        ),
      );
    }
    if (shard.unexpiredBytes() < options.maxShardBytes) {
      return undefined;
    }
    return new ServingError('overloaded', 'the order ledger is full', {
      run: 'not-run',
      retryAfterMs: Math.min(MAX_RETRY_AFTER_MS, shard.table.msUntilExpiry()),
    });
  }

  /**
   * Adds a retry delay to an error that has none. The delay is random, since
   * synchronized retries could cause another outage.
   */
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

  async function joinActiveOrder(
    order: ActiveOrder,
    request: OrderRequest,
    signal: AbortSignal,
  ): Promise<ExecuteResult> {
    if (order.request.requestDigest !== request.requestDigest) {
      return resolveKeyConflict(order, request, signal);
    }
    try {
      const result = await order.join(request.deadline, signal);
      const isFirstRequest = order.request === request;
      return result.type === 'reply' && !isFirstRequest
        ? {...result, isReplay: true}
        : result;
    } catch (error) {
      return errorResult(toServingError(error));
    }
  }

  /**
   * Returns `key-conflict` once the claim of the active order is written. If
   * the claim is not written, the request is executed, as it conflicts with
   * nothing.
   */
  async function resolveKeyConflict(
    order: ActiveOrder,
    request: OrderRequest,
    signal: AbortSignal,
  ): Promise<ExecuteResult> {
    if (order.isClaimDecided()) {
      return errorResult(keyConflictError());
    }
    const leftMs = request.deadline - clock.now();
    const sleepController = new AbortController();
    await Promise.race([
      order.whenClaimDecided,
      sleep(clock, leftMs, sleepController.signal).catch(() => undefined),
    ]);
    sleepController.abort();
    if (clock.now() < request.deadline) {
      return execute(request, signal);
    }
    return errorResult(
      new ServingError(
        'deadline-exceeded',
        'the deadline passed while another request with the same key was being claimed',
        {
          run: 'not-run',
        },
      ),
    );
  }

  async function answerFromEntry(
    shard: Shard,
    entry: LedgerEntry,
    request: OrderRequest,
    signal: AbortSignal,
  ): Promise<ExecuteResult> {
    if (entry.print !== request.requestDigest) {
      return errorResult(keyConflictError());
    }
    if (entry.state !== 'claimed') {
      return resultFromLedger(entry);
    }
    const outcome = await options.queryClaimant(entry, request.deadline);
    if (outcome !== undefined) {
      recordOutcome(shard, outcome);
    }
    if (!shard.isOwned()) {
      return resultAfterShardLoss(entry, outcome);
    }
    const latestEntry = shard.table.get(request.id);
    if (latestEntry === undefined || activeOrders.has(request.id)) {
      // The claim turned out void, or the order has been claimed again
      // meanwhile.
      return executeInOwnedShard(shard, request, signal);
    }
    return resultFromLedger(latestEntry);
  }

  function adoptOrders(
    shard: Shard,
    entries: readonly LedgerEntry[],
  ): readonly ActiveOrder[] {
    const adoptedOrders: ActiveOrder[] = [];
    for (const entry of entries) {
      if (entry.state !== 'waiting' || entry.order === undefined) {
        continue;
      }
      const leftMs = entry.order.runBefore - clock.wall();
      if (leftMs <= 0) {
        // The deadline passed before the order was claimed again: a retry is
        // executed like a new order.
        shard.table.remove(entry.id);
        continue;
      }
      const order = createActiveOrder(
        {
          id: entry.id,
          requestDigest: entry.print,
          service: entry.order.service,
          call: decodeCall(entry.order),
          deadline: clock.now() + leftMs,
          releasedTokens: [],
        },
        shard.index,
        clock,
        'ledger',
      );
      addActiveOrder(order);
      shard.enqueue(order);
      adoptedOrders.push(order);
    }
    return adoptedOrders;
  }

  function recordOutcome(shard: Shard, outcome: ClaimOutcome): boolean {
    if (!shard.isOwned()) {
      return false;
    }
    const entry = shard.table.get(outcome.id);
    // The outcome belongs to another claim, or the order has been handed over.
    if (entry?.token !== outcome.token || entry.state === 'waiting') {
      return true;
    }
    if (entry.state === 'settled') {
      return true;
    }
    applyOutcome(shard, entry, outcome);
    shard.enqueueOutcome(outcome);
    return true;
  }

  function applyOutcome(
    shard: Shard,
    entry: LedgerEntry,
    outcome: ClaimOutcome,
  ): void {
    if (outcome.state !== 'settled') {
      applyOutcomeWithoutReply[outcome.state](shard, entry);
      return;
    }
    const isOverfilled =
      shard.table.bytes > MAX_OVERFILL_RATIO * options.maxShardBytes;
    const maxBytes = isOverfilled ? 0 : options.maxReplyBytes;
    const reply = encodeReply(outcome.reply, maxBytes);
    shard.table.put({...entry, state: 'settled', reply});
  }

  return {
    execute,
    adoptOrders,
    recordOutcome,
    activeOrder: id => activeOrders.get(id),
    activeOrders: () => [...activeOrders.values()],
  };
}

/**
 * Builds the message that reports how a claim ended.
 *
 * @example
 * orders.recordOutcome(shard, toClaimOutcome(order, {state: 'unknown'}));
 */
export function toClaimOutcome(
  order: ActiveOrder,
  outcome: RunOutcome,
): ClaimOutcome {
  const {id} = order.request;
  const {token} = order;
  if (outcome.state === 'settled') {
    return {state: 'settled', id, token, reply: outcome.reply};
  }
  return {state: outcome.state, id, token};
}

const applyOutcomeWithoutReply = {
  released: (shard: Shard, entry: LedgerEntry) => shard.table.remove(entry.id),
  unknown: (shard: Shard, entry: LedgerEntry) =>
    shard.table.put({...entry, state: 'unknown'}),
};

function isCertainlyUnsent(result: OrderCompletion): boolean {
  return (
    result.type === 'moved' ||
    (result.type === 'error' && result.error.run === 'not-run')
  );
}
