/** Ledger of one process: submission of orders, hand-over, peer messages. */
import {
  createDisposableStore,
  scheduleRepeatedly,
  ServingError,
  sleep,
} from '@skylarkfield/base';
import type {ClaimOutcome} from '@skylarkfield/protocol';
import type {Ledger, Order, SubmitResult} from './contracts.js';
import type {ActiveOrder, OrderRequest} from './activeOrder.js';
import {createHandOver} from './handOver.js';
import {createOutcomeCache} from './outcomeCache.js';
import {createOutcomeSender} from './outcomeSender.js';
import {defaultLedgerSettings, type LedgerOptions} from './ledgerSettings.js';
import {toClaimOutcome, createLocalOrders} from './localOrders.js';
import {
  orderId,
  requestDigest,
  shardIndexOf,
  randomId,
} from './orderIdentity.js';
import {observeAnswer, observeWrites, noopObserver} from './orderObserver.js';
import {createOrderRouter} from './orderRouter.js';
import {createOrderRunner, type RunOutcome} from './orderRunner.js';
import {handlePeerMessages} from './peerMessages.js';
import {createShard} from './shard.js';
import type {Shard} from './shardContracts.js';
import {
  LEDGER_KIND,
  shardName,
  type LedgerEntry,
  type ShardRecord,
} from './shardRecord.js';

const OUTCOME_SEND_INTERVAL_MS = 250;
const UNDELIVERED_OUTCOME_TTL_MS = 120_000;
const EXIT_DELAY_MS = 100;
const STARTUP_SCAN_DELAY_MS = 500;

/**
 * Creates the ledger of one process.
 *
 * @example
 * const ledger = createLedger({
 *   store, network, dispatch, clock, random, member: 'a1', liveMembers,
 * });
 * const answer = await ledger.submit(order, signal);
 */
export function createLedger(options: LedgerOptions): Ledger {
  const {network, clock, random, member, observer = noopObserver} = options;
  const store = observeWrites(options.store, observer.onWillWrite);
  const settings = {...defaultLedgerSettings, ...options.settings};
  const instanceId = `${member}#${randomId(random)}`;
  const disposables = createDisposableStore();
  /** Outcomes that the owner of their shard may not have yet. */
  const undeliveredOutcomes = createOutcomeCache();
  /** Outcomes of this process's claims, for shard owners that query them. */
  const localOutcomes = createOutcomeCache();
  /** Answers that callers of this entry are waiting for. */
  const pendingAnswers = new Set<Promise<unknown>>();
  let isLeaving = false;
  let isAlive = true;

  const shards: readonly Shard[] = Array.from(
    {length: settings.shardCount},
    (_, index) =>
      disposables.add(
        createShard({
          index,
          store,
          clock,
          decisions: options.decisions,
          member,
          instanceId,
          minWriteIntervalMs: settings.minWriteIntervalMs,
          outcomeDelayMs: settings.outcomeDelayMs,
          dedupeWindowMs: settings.dedupeWindowMs,
          sealThresholdBytes: settings.sealThresholdBytes,
          holdOffMs: settings.holdOffMs,
          isReachable: peer => router.isReachable(peer),
          onDidClaim: order => runner.run(order),
          onDidLose: outcomes =>
            outcomes.forEach(outcome =>
              cacheUndeliveredOutcome(index, outcome, 0),
            ),
          onDidTakeOver: entries => {
            observer.onDidTakeOver();
            adoptShard(index, entries);
          },
        }),
      ),
  );
  const orders = createLocalOrders({
    ...settings,
    store,
    clock,
    random,
    shards,
    queryClaimant,
    onDidVoidClaim: order => cacheLocalOutcome(order, {state: 'released'}),
  });
  const runner = createOrderRunner({
    ...settings,
    dispatch: options.dispatch,
    clock,
    random,
    isAlive: () => isAlive,
    onDidFinish: (order, result) => {
      cacheLocalOutcome(order, result);
      recordOutcome(order.shard, toClaimOutcome(order, result), 0);
    },
  });
  const router = createOrderRouter({
    network,
    clock,
    random,
    member,
    liveMemberIds: options.liveMembers,
    answeringMemberIds: options.answeringMembers ?? options.liveMembers,
    isLeaving: () => isLeaving,
    executeLocally: orders.execute,
  });
  const outcomeSender = createOutcomeSender({
    network,
    clock,
    member,
    undeliveredOutcomes,
    shards,
    preferredOwner: router.preferredOwner,
  });
  const handOver = createHandOver({
    clock,
    network,
    successors: index => router.successors(index),
    maxBodyBytes: settings.maxHandOverBytes,
    activeOrders: orders.activeOrders,
    onDidVoidClaim: order =>
      cacheUndeliveredOutcome(
        order.shard,
        toClaimOutcome(order, {state: 'released'}),
        0,
      ),
    resume: runner.run,
  });

  function cacheLocalOutcome(order: ActiveOrder, result: RunOutcome): void {
    const {shard} = order;
    const outcome = toClaimOutcome(order, result);
    localOutcomes.add({shard, outcome, hops: 0, expiresAt: Infinity});
  }

  function recordOutcome(
    shard: number,
    outcome: ClaimOutcome,
    hops: number,
  ): void {
    if (orders.recordOutcome(shards[shard] as Shard, outcome)) {
      return;
    }
    cacheUndeliveredOutcome(shard, outcome, hops);
  }

  function cacheUndeliveredOutcome(
    shard: number,
    outcome: ClaimOutcome,
    hops: number,
  ): void {
    const expiresAt = clock.now() + UNDELIVERED_OUTCOME_TTL_MS;
    undeliveredOutcomes.add({shard, outcome, hops, expiresAt});
  }

  /**
   * After a take-over, records the cached outcomes of the shard's claims and
   * queues the orders that wait in the shard.
   */
  function adoptShard(index: number, entries: readonly LedgerEntry[]): void {
    const shard = shards[index] as Shard;
    for (const {outcome} of undeliveredOutcomes.listByShard(
      index,
      clock.now(),
    )) {
      orders.recordOutcome(shard, outcome);
      undeliveredOutcomes.remove(outcome.id, outcome.token);
    }
    for (const order of orders.adoptOrders(shard, entries)) {
      void rerouteIfMoved(order);
    }
  }

  /**
   * Routes an order from the ledger to the new owner if its shard is lost
   * again: no caller waits at this entry whose request would route the order.
   */
  async function rerouteIfMoved(order: ActiveOrder): Promise<void> {
    const result = await order.completion;
    if (result.type === 'moved' && isAlive) {
      const releasedTokens = [result.token];
      const request = {...order.request, releasedTokens};
      await router.route(order.shard, request, neverAbortedSignal());
    }
  }

  async function queryClaimant(
    entry: LedgerEntry,
    deadline: number,
  ): Promise<ClaimOutcome | undefined> {
    const {id, token} = entry;
    if (entry.member === member || !router.canAnswer(entry.member)) {
      return undeliveredOutcomes.find(id, token);
    }
    try {
      const answer = await router.requestWhileLive(
        entry.member,
        timeoutMs =>
          network.request(
            entry.member,
            'orderOutcomeWanted',
            {id, token},
            timeoutMs,
          ),
        deadline,
      );
      return (answer ?? undefined) as ClaimOutcome | undefined;
    } catch {
      return undefined;
    }
  }

  async function awaitOutcome(
    id: string,
    token: string,
  ): Promise<ClaimOutcome | undefined> {
    const order = orders.activeOrder(id);
    if (order?.token === token) {
      await order.completion;
    }
    return localOutcomes.find(id, token) ?? undeliveredOutcomes.find(id, token);
  }

  disposables.add(
    handlePeerMessages({
      network,
      clock,
      member,
      shards,
      isLeaving: () => isLeaving,
      execute: orders.execute,
      awaitOutcome,
      recordOutcome,
    }),
  );
  disposables.add(
    clock.after(STARTUP_SCAN_DELAY_MS * (1 + random.next()), () => {
      takeOverWaitingShards().catch(() => undefined);
    }),
  );
  disposables.add(
    scheduleRepeatedly(
      clock,
      OUTCOME_SEND_INTERVAL_MS,
      () => void outcomeSender.send(),
    ),
  );
  disposables.add(
    store.onDidChangeState(state => {
      if (state !== 'down') {
        return;
      }
      const error = new ServingError(
        'platform-unavailable',
        'orders cannot be recorded while the platform is down',
        {retryAfterMs: settings.retryAfterMs},
      );
      shards.forEach(shard => shard.rejectUnclaimed(error));
    }),
  );

  async function submit(
    order: Order,
    signal: AbortSignal,
  ): Promise<SubmitResult> {
    if (isLeaving || !isAlive) {
      throw new ServingError(
        'leaving',
        'this entry is leaving and accepts no orders',
      );
    }
    const hasNoKey = order.key === undefined;
    const id =
      order.key === undefined
        ? randomId(random)
        : orderId(order.customer, order.key);
    const request: OrderRequest = {
      id,
      requestDigest: requestDigest(order),
      service: order.service,
      call: order.call,
      deadline: order.deadline,
      releasedTokens: [],
    };
    const result = await routeOrder(request, signal);
    if (result.type === 'error') {
      throw addKeyToMessage(result.error, order.key);
    }
    const {reply, isReplay} = result;
    return {reply, isReplay, hasNoKey};
  }

  async function routeOrder(request: OrderRequest, signal: AbortSignal) {
    const shard = shardIndexOf(request.id, settings.shardCount);
    const answer = router.route(shard, request, signal);
    pendingAnswers.add(answer);
    try {
      return await answer;
    } finally {
      pendingAnswers.delete(answer);
    }
  }

  /**
   * Takes over released shards in which orders wait. They were released while
   * no other entry was running.
   */
  async function takeOverWaitingShards(): Promise<void> {
    const {objects} = await store.list<ShardRecord>(LEDGER_KIND);
    for (const {name, value} of objects) {
      const shard = shards.find(({index}) => shardName(index) === name);
      const hasWaitingOrders = value.entries.some(
        ({state}) => state === 'waiting',
      );
      const isReleasedWithOrders = value.owner === '' && hasWaitingOrders;
      if (shard !== undefined && isReleasedWithOrders && !isLeaving) {
        await shard.acquire();
      }
    }
  }

  async function leave(): Promise<void> {
    isLeaving = true;
    await Promise.all(shards.map(handOver.transfer));
    await Promise.all(orders.activeOrders().map(order => order.completion));
    await Promise.allSettled(pendingAnswers);
    await outcomeSender.send();
    // Orders in transit to this entry are rejected as not run until the delay
    // ends. If the connection closed at once, their senders could not tell
    // whether the orders ran.
    await sleep(clock, EXIT_DELAY_MS);
  }

  return {
    submit: (order, signal) =>
      observeAnswer(observer, order.service, submit(order, signal)),
    leave,
    dump: () => ({
      isLeaving,
      shards: shards.map(shard => shard.dump()),
      flights: countStates(orders.activeOrders()),
      lateOutcomes: undeliveredOutcomes.size,
    }),
    dispose() {
      isAlive = false;
      disposables.dispose();
    },
  };
}

/**
 * Adds the idempotency key to the message of a key conflict; other entries
 * never see the key, so their errors do not contain it.
 */
function addKeyToMessage(
  error: ServingError,
  key: string | undefined,
): ServingError {
  if (error.kind !== 'key-conflict') {
    return error;
  }
  return new ServingError(
    'key-conflict',
    `idempotency key ${JSON.stringify(key)} was used with another request`,
    {run: error.run, cause: error},
  );
}

/** Returns a new signal: listeners would accumulate on a shared signal. */
function neverAbortedSignal(): AbortSignal {
  return new AbortController().signal;
}

function countStates(orders: readonly ActiveOrder[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const order of orders) {
    const state = order.state();
    counts[state] = (counts[state] ?? 0) + 1;
  }
  return counts;
}
