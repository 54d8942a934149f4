/** Brings an order to the owner of its shard, wherever that is, and never calls `not-run` what a silent owner may run. */
import {
  isServingError,
  rendezvousOrder,
  ServingError,
  type Clock,
  type Disposable,
  type Random,
} from '@skylarkfield/base';
import type {ForwardAnswer, PeerNetwork} from '@skylarkfield/protocol';
import type {OrderCompletion, OrderRequest} from './activeOrder.js';
import {fromForwardAnswer, type ExecuteResult} from './forwardAnswer.js';
import {randomId} from './orderIdentity.js';

export interface OrderRouter {
  /** Works on an order wherever its shard is owned. */
  route(
    shard: number,
    request: OrderRequest,
    signal: AbortSignal,
  ): Promise<Exclude<OrderCompletion, {type: 'moved'}>>;
  /** Asks a peer; rejects as soon as it can't answer any more. */
  requestWhileLive<T>(
    member: string,
    ask: (timeoutMs: number) => Promise<T>,
    deadline: number,
  ): Promise<T>;
  /** The entry that should own a shard, if any takes new work. */
  preferredOwner(shard: number): string | undefined;
  /** The other entries that could own a shard, the best first. */
  successors(shard: number): readonly string[];
  /** True for an entry that takes new work and can be asked now. */
  isReachable(member: string): boolean;
  /** True also for an entry that leaves: it still ends what it has begun. */
  canAnswer(member: string): boolean;
}

/** What the ledger needs of the inner protocol. */
export type OrderNetwork = Pick<PeerNetwork, 'ask' | 'onDidReceive'>;

export interface OrderRouterOptions {
  readonly network: OrderNetwork;
  readonly clock: Clock;
  readonly random: Random;
  readonly member: string;
  /** Ids of the entries that take new work, this one included. */
  readonly liveMembers: () => readonly string[];
  /** Ids of the entries that can still answer: those live and those leaving. */
  readonly answeringMembers: () => readonly string[];
  readonly isLeaving: () => boolean;
  readonly executeLocally: (
    request: OrderRequest,
    signal: AbortSignal,
  ) => Promise<ExecuteResult>;
}

const MAX_HOPS = 12;
const LIVENESS_CHECK_MS = 200;
const ANSWER_MARGIN_RATIO = 0.2;
const MAX_ANSWER_MARGIN_MS = 50;
const RETRY_DELAY_MS = 50;

/**
 * Makes the route of one process.
 *
 * @example
 * const result = await route.run(shard, request, signal);
 */
export function createOrderRouter(options: OrderRouterOptions): OrderRouter {
  const {network, clock, random, member, liveMembers} = options;

  function isReachable(other: string): boolean {
    return liveMembers().includes(other);
  }

  function canAnswer(other: string): boolean {
    return options.answeringMembers().includes(other);
  }

  function requestWhileLive<T>(
    other: string,
    ask: (timeoutMs: number) => Promise<T>,
    deadline: number,
  ): Promise<T> {
    const timeoutMs = Math.max(1, deadline - clock.now());
    return new Promise((resolve, reject) => {
      let timer: Disposable | undefined;
      function check() {
        if (!canAnswer(other)) {
          reject(unreachablePeerError(other));
          return;
        }
        timer = clock.after(LIVENESS_CHECK_MS, check);
      }
      check();
      ask(timeoutMs)
        .then(resolve, reject)
        .finally(() => timer?.dispose());
    });
  }

  async function forward(
    other: string,
    request: OrderRequest,
  ): Promise<ExecuteResult> {
    const {id, print, service, call, deadline, released} = request;
    const body = {
      id,
      print,
      attempt: randomId(random),
      service,
      call,
      leftMs: forwardedTimeoutMs(deadline - clock.now()),
      sentAtWall: clock.wall(),
      released,
    };
    try {
      const answer = await requestWhileLive(
        other,
        timeoutMs => network.ask(other, 'orderForward', body, timeoutMs),
        deadline,
      );
      return fromForwardAnswer(answer as ForwardAnswer);
    } catch (error) {
      const isUnsent =
        isServingError(error, 'interrupted') && error.run === 'not-run';
      return {type: isUnsent ? 'not-sent' : 'no-answer'};
    }
  }

  function candidates(shard: number): readonly string[] {
    return rendezvousOrder(shardHashKey(shard), [
      ...new Set([...liveMembers(), member]),
    ]);
  }

  function nextTarget(
    shard: number,
    ownerHint: string | undefined,
    tried: ReadonlySet<string>,
  ): string | undefined {
    // A leaving entry must not take shards: whatever it claimed would end with it.
    const mayUse = (other: string) =>
      !tried.has(other) && !(other === member && options.isLeaving());
    const isHintUsable =
      ownerHint !== undefined &&
      mayUse(ownerHint) &&
      (ownerHint === member || isReachable(ownerHint));
    return isHintUsable ? ownerHint : candidates(shard).find(mayUse);
  }

  async function route(
    shard: number,
    request: OrderRequest,
    signal: AbortSignal,
  ): Promise<Exclude<OrderCompletion, {type: 'moved'}>> {
    const released = [...request.released];
    const tried = new Set<string>();
    let ownerHint: string | undefined;
    let mayRunElsewhere = false;

    function fail(error: ServingError): OrderCompletion & {type: 'error'} {
      // A silent owner may still wake and run the order, so it can't be called not run.
      const mayRun = mayRunElsewhere && error.run === 'not-run';
      return {type: 'error', error: mayRun ? toMayHaveRun(error) : error};
    }

    for (let hop = 0; hop < MAX_HOPS; hop++) {
      if (signal.aborted || clock.now() >= request.deadline) {
        break;
      }
      const target = nextTarget(shard, ownerHint, tried);
      if (target === undefined) {
        break;
      }
      const attempt = {...request, released};
      const result =
        target === member
          ? await options.executeLocally(attempt, signal)
          : await raceAbort(forward(target, attempt), signal);
      ownerHint = undefined;
      if (result.type === 'reply') {
        return result;
      }
      if (result.type === 'error') {
        if (target === member || !isNotAccepted(result.error)) {
          return fail(result.error);
        }
        tried.add(target);
        continue;
      }
      if (result.type === 'no-answer' || result.type === 'not-sent') {
        mayRunElsewhere ||= result.type === 'no-answer';
        tried.add(target);
        continue;
      }
      ownerHint = result.member;
      if (result.type === 'moved') {
        released.push(result.token);
        // It waits in the ledger for whoever takes the shard: no later refusal makes it not run.
        mayRunElsewhere ||= result.isWaiting;
      }
      if (ownerHint === target || ownerHint === undefined) {
        await waitBeforeRetry();
      }
    }
    return fail(noTargetError(signal, request.deadline <= clock.now()));
  }

  function waitBeforeRetry(): Promise<void> {
    return new Promise(resolve => clock.after(RETRY_DELAY_MS, resolve));
  }

  return {
    route,
    requestWhileLive,
    isReachable,
    canAnswer,
    preferredOwner: shard =>
      rendezvousOrder(shardHashKey(shard), liveMembers())[0],
    successors: shard => candidates(shard).filter(other => other !== member),
  };
}

/** The owner gets a little less time than the caller has, so that its answer is back before the deadline. */
function forwardedTimeoutMs(leftMs: number): number {
  const marginMs = Math.min(MAX_ANSWER_MARGIN_MS, leftMs * ANSWER_MARGIN_RATIO);
  return Math.max(0, leftMs - marginMs);
}

/** Name under which a shard is placed among the entries. */
function shardHashKey(shard: number): string {
  return `ledger/${shard}`;
}

function raceAbort(
  forwarded: Promise<ExecuteResult>,
  signal: AbortSignal,
): Promise<ExecuteResult> {
  return new Promise((resolve, reject) => {
    const onAbort = () => resolve({type: 'no-answer'});
    signal.addEventListener('abort', onAbort, {once: true});
    forwarded
      .then(resolve, reject)
      .finally(() => signal.removeEventListener('abort', onAbort));
  });
}

function noTargetError(signal: AbortSignal, isLate: boolean): ServingError {
  if (signal.aborted) {
    return new ServingError('cancelled', 'the caller gave the order up', {
      run: 'not-run',
    });
  }
  if (isLate) {
    return new ServingError('deadline-exceeded', 'the deadline passed', {
      run: 'not-run',
    });
  }
  return new ServingError('not-ready', 'no entry could take the order now', {
    run: 'not-run',
    retryAfterMs: 1_000,
  });
}

function toMayHaveRun(cause: ServingError): ServingError {
  const kind = cause.kind === 'key-conflict' ? cause.kind : 'outcome-unknown';
  return new ServingError(
    kind,
    `the order was given to another entry and may run there: ${cause.message}`,
    {run: 'may-have-run', retryAfterMs: cause.retryAfterMs, cause},
  );
}

function unreachablePeerError(other: string): ServingError {
  return new ServingError('interrupted', `${other} is not reachable any more`);
}

/** Tells whether an error says that the entry asked took nothing on. */
function isNotAccepted(error: ServingError): boolean {
  return isServingError(error, 'leaving') || isServingError(error, 'not-ready');
}
