/**
 * Routes an order to the owner of its shard. It reports `not-run` only if no
 * unresponsive owner can still run the order.
 */
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
  /** Executes an order at the entry that owns its shard. */
  route(
    shard: number,
    request: OrderRequest,
    signal: AbortSignal,
  ): Promise<Exclude<OrderCompletion, {type: 'moved'}>>;
  /** Sends a request to a peer; rejects once the peer can't answer any more. */
  requestWhileLive<T>(
    member: string,
    sendRequest: (timeoutMs: number) => Promise<T>,
    deadline: number,
  ): Promise<T>;
  /** The entry that should own a shard, if any accepts new work. */
  preferredOwner(shard: number): string | undefined;
  /** The other entries that could own a shard, in order of preference. */
  successors(shard: number): readonly string[];
  /** True for an entry that accepts new work and is reachable. */
  isReachable(member: string): boolean;
  /** Also true for a leaving entry: it completes what it has started. */
  canAnswer(member: string): boolean;
}

/** The part of the inner protocol that the ledger uses. */
export type OrderNetwork = Pick<PeerNetwork, 'request' | 'onDidReceive'>;

export interface OrderRouterOptions {
  readonly network: OrderNetwork;
  readonly clock: Clock;
  readonly random: Random;
  readonly member: string;
  /** Ids of the entries that accept new work, including this one. */
  readonly liveMembers: () => readonly string[];
  /** Ids of the entries that can still answer, live or leaving. */
  readonly answeringMembers: () => readonly string[];
  readonly isLeaving: () => boolean;
  readonly executeLocally: (
    request: OrderRequest,
    signal: AbortSignal,
  ) => Promise<ExecuteResult>;
}

const MAX_HOPS = 12;
const LIVENESS_CHECK_INTERVAL_MS = 200;
const ANSWER_MARGIN_RATIO = 0.2;
const MAX_ANSWER_MARGIN_MS = 50;
const RETRY_DELAY_MS = 50;

/**
 * Creates the router of one process.
 *
 * @example
 * const result = await router.route(shard, request, signal);
 */
export function createOrderRouter(options: OrderRouterOptions): OrderRouter {
  const {network, clock, random, member, liveMembers} = options;

  function isReachable(peer: string): boolean {
    return liveMembers().includes(peer);
  }

  function canAnswer(peer: string): boolean {
    return options.answeringMembers().includes(peer);
  }

  function requestWhileLive<T>(
    peer: string,
    sendRequest: (timeoutMs: number) => Promise<T>,
    deadline: number,
  ): Promise<T> {
    const timeoutMs = Math.max(1, deadline - clock.now());
    return new Promise((resolve, reject) => {
      let timer: Disposable | undefined;
      function check() {
        if (!canAnswer(peer)) {
          reject(unreachablePeerError(peer));
          return;
        }
        timer = clock.after(LIVENESS_CHECK_INTERVAL_MS, check);
      }
      check();
      sendRequest(timeoutMs)
        .then(resolve, reject)
        .finally(() => timer?.dispose());
    });
  }

  async function forward(
    peer: string,
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
        peer,
        timeoutMs => network.request(peer, 'orderForward', body, timeoutMs),
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
    // A leaving entry must not acquire shards: its claims would end with it.
    const mayUse = (peer: string) =>
      !tried.has(peer) && !(peer === member && options.isLeaving());
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

    function toErrorResult(
      error: ServingError,
    ): OrderCompletion & {type: 'error'} {
      // An unresponsive owner may still resume and run the order.
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
          return toErrorResult(result.error);
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
        // The next owner runs the order, whatever another entry answers now.
        mayRunElsewhere ||= result.isWaiting;
      }
      if (ownerHint === target || ownerHint === undefined) {
        await waitBeforeRetry();
      }
    }
    return toErrorResult(
      noTargetError(signal, request.deadline <= clock.now()),
    );
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
    successors: shard => candidates(shard).filter(peer => peer !== member),
  };
}

/** Leaves time for the owner's answer to arrive before the deadline. */
function forwardedTimeoutMs(leftMs: number): number {
  const marginMs = Math.min(MAX_ANSWER_MARGIN_MS, leftMs * ANSWER_MARGIN_RATIO);
  return Math.max(0, leftMs - marginMs);
}

/** Key of a shard for rendezvous hashing over the entries. */
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
    return new ServingError('cancelled', 'the caller cancelled the order', {
      run: 'not-run',
    });
  }
  if (isLate) {
    return new ServingError('deadline-exceeded', 'the deadline passed', {
      run: 'not-run',
    });
  }
  return new ServingError('not-ready', 'no entry can accept the order now', {
    run: 'not-run',
    retryAfterMs: 1_000,
  });
}

function toMayHaveRun(cause: ServingError): ServingError {
  const kind = cause.kind === 'key-conflict' ? cause.kind : 'outcome-unknown';
  return new ServingError(
    kind,
    `the order was forwarded to another entry and may run there: ${cause.message}`,
    {run: 'may-have-run', retryAfterMs: cause.retryAfterMs, cause},
  );
}

function unreachablePeerError(peer: string): ServingError {
  return new ServingError('interrupted', `${peer} is no longer reachable`);
}

/** True for errors by which the peer certainly has not accepted the order. */
function isNotAccepted(error: ServingError): boolean {
  return isServingError(error, 'leaving') || isServingError(error, 'not-ready');
}
