/** The ledger of one process: orders in, hand-over on leaving, messages between entries. */
import {disposableStore, every, ServingError, sleep} from '@skylarkfield/base';
import type {ClaimOutcome} from '@skylarkfield/protocol';
import type {Ledger, Order, OrderAnswer} from './contracts.js';
import type {Flight, OrderRequest} from './flight.js';
import {createHandOver} from './handOver.js';
import {createLateOutcomes} from './lateOutcomes.js';
import {createLateOutcomeSender} from './lateOutcomeSender.js';
import {defaultLedgerSettings, type LedgerOptions} from './ledgerSettings.js';
import {claimOutcome, createLocalOrders} from './localOrders.js';
import {orderId, orderPrint, shardOf, uniqueText} from './orderIdentity.js';
import {observeAnswer, observeWrites, silentObserver} from './orderObserver.js';
import {createOrderRoute} from './orderRoute.js';
import {createOrderRunner, type RunOutcome} from './orderRunner.js';
import {answerPeers} from './peerOrders.js';
import {createShard} from './shard.js';
import type {Shard} from './shardContracts.js';
import {
  LEDGER_KIND,
  shardName,
  type LedgerEntry,
  type ShardRecord,
} from './shardRecord.js';

const LATE_CHECK_MS = 250;
const LATE_KEPT_MS = 120_000;
const LINGER_MS = 100;
const START_CHECK_MS = 500;

/**
 * Makes the ledger of one process.
 *
 * @example
 * const ledger = createLedger({store, network, dispatch, clock, random, member: 'a1', liveMembers, answeringMembers});
 * const answer = await ledger.submit(order, signal);
 */
export function createLedger(options: LedgerOptions): Ledger {
  const {network, clock, random, member, observer = silentObserver} = options;
  const store = observeWrites(options.store, observer.onWillWrite);
  const settings = {...defaultLedgerSettings, ...options.settings};
  const instance = `${member}#${uniqueText(random)}`;
  const owned = disposableStore();
  const late = createLateOutcomes();
  /** Outcomes of this process's own claims, for owners that ask. */
  const recent = createLateOutcomes();
  /** Answers that callers of this entry wait for. */
  const open = new Set<Promise<unknown>>();
  let isLeaving = false;
  let isAlive = true;

  const shards: readonly Shard[] = Array.from(
    {length: settings.shardCount},
    (_, index) =>
      owned.add(
        createShard({
          index,
          store,
          clock,
          decisions: options.decisions,
          member,
          instance,
          gapMs: settings.writeGapMs,
          lazyMs: settings.outcomeDelayMs,
          windowMs: settings.dedupeWindowMs,
          sealBytes: settings.sealBytes,
          holdOffMs: settings.holdOffMs,
          isReachable: other => route.isReachable(other),
          onDidClaim: flight => runner.run(flight),
          onDidLose: outcomes =>
            outcomes.forEach(outcome => keepLate(index, outcome, 0)),
          onDidTake: entries => {
            observer.onDidTakeOver();
            takeUp(index, entries);
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
    askClaimer,
    onDidVoid: flight => rememberOwn(flight, {state: 'released'}),
  });
  const runner = createOrderRunner({
    ...settings,
    dispatch: options.dispatch,
    clock,
    random,
    isAlive: () => isAlive,
    onDidFinish: (flight, result) => {
      rememberOwn(flight, result);
      noteOutcome(flight.shard, claimOutcome(flight, result), 0);
    },
  });
  const route = createOrderRoute({
    network,
    clock,
    random,
    member,
    liveMembers: options.liveMembers,
    answeringMembers: options.answeringMembers ?? options.liveMembers,
    isLeaving: () => isLeaving,
    workHere: orders.work,
  });
  const sender = createLateOutcomeSender({
    network,
    clock,
    member,
    late,
    shards,
    preferredOwner: route.preferredOwner,
  });
  const handOver = createHandOver({
    clock,
    network,
    successors: index => route.successors(index),
    maxBytes: settings.maxHandOverBytes,
    flights: orders.flights,
    onDidVoid: flight =>
      keepLate(flight.shard, claimOutcome(flight, {state: 'released'}), 0),
    rerun: runner.run,
  });

  function rememberOwn(flight: Flight, result: RunOutcome): void {
    const {shard} = flight;
    const outcome = claimOutcome(flight, result);
    recent.add({shard, outcome, hops: 0, keepUntil: Infinity});
  }

  function noteOutcome(
    shard: number,
    outcome: ClaimOutcome,
    hops: number,
  ): void {
    if (orders.note(shards[shard] as Shard, outcome)) {
      return;
    }
    keepLate(shard, outcome, hops);
  }

  function keepLate(shard: number, outcome: ClaimOutcome, hops: number): void {
    const keepUntil = clock.now() + LATE_KEPT_MS;
    late.add({shard, outcome, hops, keepUntil});
  }

  /** Takes up what waits in a shard just taken over, and what is known here of its claims. */
  function takeUp(index: number, entries: readonly LedgerEntry[]): void {
    const shard = shards[index] as Shard;
    for (const {outcome} of late.ofShard(index, clock.now())) {
      orders.note(shard, outcome);
      late.remove(outcome.id, outcome.token);
    }
    for (const flight of orders.adopt(shard, entries)) {
      void followAdopted(flight);
    }
  }

  /** An order from the ledger has no caller here: when the shard is lost, it is brought to the next owner. */
  async function followAdopted(flight: Flight): Promise<void> {
    const result = await flight.done;
    if (result.type === 'moved' && isAlive) {
      const released = [result.token];
      const request = {...flight.request, released};
      await route.run(flight.shard, request, neverAborted());
    }
  }

  async function askClaimer(
    entry: LedgerEntry,
    deadline: number,
  ): Promise<ClaimOutcome | undefined> {
    const {id, token} = entry;
    if (entry.member === member || !route.canAnswer(entry.member)) {
      return late.find(id, token);
    }
    try {
      const answer = await route.askWhileLive(
        entry.member,
        timeoutMs =>
          network.ask(
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

  async function outcomeOf(
    id: string,
    token: string,
  ): Promise<ClaimOutcome | undefined> {
    const flight = orders.flight(id);
    if (flight?.token === token) {
      await flight.done;
    }
    return recent.find(id, token) ?? late.find(id, token);
  }

  owned.add(
    answerPeers({
      network,
      clock,
      member,
      shards,
      isLeaving: () => isLeaving,
      work: orders.work,
      outcomeOf,
      noteOutcome,
    }),
  );
  owned.add(
    clock.after(START_CHECK_MS * (1 + random.next()), () => {
      takeWaiting().catch(() => undefined);
    }),
  );
  owned.add(every(clock, LATE_CHECK_MS, () => void sender.send()));
  owned.add(
    store.onDidChangeState(state => {
      if (state !== 'down') {
        return;
      }
      const error = new ServingError(
        'platform-unavailable',
        'orders cannot be kept safe while the platform is down',
        {retryAfterMs: settings.retryAfterMs},
      );
      shards.forEach(shard => shard.refuseUnclaimed(error));
    }),
  );

  async function submit(
    order: Order,
    signal: AbortSignal,
  ): Promise<OrderAnswer> {
    if (isLeaving || !isAlive) {
      throw new ServingError('leaving', 'this entry is leaving');
    }
    const isUnrecognisable = order.key === undefined;
    const id =
      order.key === undefined
        ? uniqueText(random)
        : orderId(order.customer, order.key);
    const request: OrderRequest = {
      id,
      print: orderPrint(order),
      service: order.service,
      call: order.call,
      deadline: order.deadline,
      released: [],
    };
    const result = await untilAnswered(request, signal);
    if (result.type === 'error') {
      throw withKey(result.error, order.key);
    }
    const {reply, isReplay} = result;
    return {reply, isReplay, isUnrecognisable};
  }

  async function untilAnswered(request: OrderRequest, signal: AbortSignal) {
    const shard = shardOf(request.id, settings.shardCount);
    const answer = route.run(shard, request, signal);
    open.add(answer);
    try {
      return await answer;
    } finally {
      open.delete(answer);
    }
  }

  /** Takes up orders that were handed over when no other entry was there. */
  async function takeWaiting(): Promise<void> {
    const {objects} = await store.list<ShardRecord>(LEDGER_KIND);
    for (const {name, value} of objects) {
      const shard = shards.find(({index}) => shardName(index) === name);
      const isWaiting = value.entries.some(({state}) => state === 'waiting');
      const isFree = value.owner === '' && isWaiting;
      if (shard !== undefined && isFree && !isLeaving) {
        await shard.own();
      }
    }
  }

  async function leave(): Promise<void> {
    isLeaving = true;
    await Promise.all(shards.map(handOver.pass));
    await Promise.all(orders.flights().map(flight => flight.done));
    await Promise.allSettled(open);
    await sender.send();
    // An order on its way here is told that nothing was done with it; from a closed connection its sender couldn't know.
    await sleep(clock, LINGER_MS);
  }

  return {
    submit: (order, signal) =>
      observeAnswer(observer, order.service, submit(order, signal)),
    leave,
    dump: () => ({
      isLeaving,
      shards: shards.map(shard => shard.dump()),
      flights: countStates(orders.flights()),
      lateOutcomes: late.size,
    }),
    dispose() {
      isAlive = false;
      owned.dispose();
    },
  };
}

/** Names the key to the caller who sent it; other entries never see it. */
function withKey(error: ServingError, key: string | undefined): ServingError {
  if (error.kind !== 'key-conflict') {
    return error;
  }
  return new ServingError(
    'key-conflict',
    `idempotency key ${JSON.stringify(key)} was used with another request`,
    {run: error.run, cause: error},
  );
}

/** A signal of its own for each call: a shared one would gather listeners. */
function neverAborted(): AbortSignal {
  return new AbortController().signal;
}

function countStates(flights: readonly Flight[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const flight of flights) {
    const name = flight.state();
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}
