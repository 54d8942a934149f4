/**
 * Routes an order to the owner of its shard. Reports `not-run` only if no owner
 * that stopped responding can still run the order.
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
  /**
   * Id of the entry that should own a shard; undefined when no entry accepts
   * new work.
   */
  preferredOwner(shard: number): string | undefined;
  /**
   * Ids of the entries other than this one that may own a shard next, in order
   * of preference.
   */
  successors(shard: number): readonly string[];
  /** True for an entry that accepts new work and is reachable. */
  isReachable(member: string): boolean;
  /** True for an entry that answers requests, even while it is leaving. */
  canAnswer(member: string): boolean;
}

/** The part of the inner protocol that the ledger uses. */
export type OrderNetwork = Pick<PeerNetwork, 'request' | 'addHandler'>;

export interface OrderRouterOptions {
  readonly network: OrderNetwork;
  readonly clock: Clock;
  readonly random: Random;
  readonly member: string;
  /** Ids of the entries that accept new work, including this entry. */
  readonly liveMemberIds: () => readonly string[];
  /** Ids of the entries that accept new work or are leaving. */
  readonly answeringMemberIds: () => readonly string[];
  readonly isLeaving: () => boolean;
  readonly executeLocally: (
    request: OrderRequest,
    signal: AbortSignal,
  ) => Promise<ExecuteResult>;
}

const MAX_HOPS = 12;
const LIVENESS_CHECK_INTERVAL_MS = 200;
/** Share of the remaining time that is reserved for the owner's answer. */
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
  const {network, clock, random, member, liveMemberIds} = options;

  function isReachable(peer: string): boolean {
    return liveMemberIds().includes(peer);
  }

  function canAnswer(peer: string): boolean {
    return options.answeringMemberIds().includes(peer);
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
    const {
      id,
      requestDigest: print,
      service,
      call,
      deadline,
      releasedTokens: released,
    } = request;
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

  function ownerCandidates(shard: number): readonly string[] {
    return rendezvousOrder(shardHashKey(shard), [
      ...new Set([...liveMemberIds(), member]),
    ]);
  }

  function nextTarget(
    shard: number,
    ownerHint: string | undefined,
    triedMemberIds: ReadonlySet<string>,
  ): string | undefined {
    // A leaving entry must not acquire shards: after its exit, a retry of an
    // order that it claimed would get `may-have-run`.
    const mayUse = (peer: string) =>
      !triedMemberIds.has(peer) && !(peer === member && options.isLeaving());
    const isHintUsable =
      ownerHint !== undefined &&
      mayUse(ownerHint) &&
      (ownerHint === member || isReachable(ownerHint));
    return isHintUsable ? ownerHint : ownerCandidates(shard).find(mayUse);
  }

  async function route(
    shard: number,
    request: OrderRequest,
    signal: AbortSignal,
  ): Promise<Exclude<OrderCompletion, {type: 'moved'}>> {
    const releasedTokens = [...request.releasedTokens];
    const triedMemberIds = new Set<string>();
    let ownerHint: string | undefined;
    let mayRunElsewhere = false;

    function toErrorResult(
      error: ServingError,
    ): OrderCompletion & {type: 'error'} {
      // An owner that did not answer may still run the order.
      const mayRun = mayRunElsewhere && error.run === 'not-run';
      return {type: 'error', error: mayRun ? toMayHaveRunError(error) : error};
    }

    for (let hop = 0; hop < MAX_HOPS; hop++) {
      if (signal.aborted || clock.now() >= request.deadline) {
        break;
      }
      const target = nextTarget(shard, ownerHint, triedMemberIds);
      if (target === undefined) {
        break;
      }
      const attemptRequest = {...request, releasedTokens};
      const result =
        target === member
          ? await options.executeLocally(attemptRequest, signal)
          : await raceAbort(forward(target, attemptRequest), signal);
      ownerHint = undefined;
      if (result.type === 'reply') {
        return result;
      }
      if (result.type === 'error') {
        if (target === member || !isNotAcceptedError(result.error)) {
          return toErrorResult(result.error);
        }
        triedMemberIds.add(target);
        continue;
      }
      if (result.type === 'no-answer' || result.type === 'not-sent') {
        mayRunElsewhere ||= result.type === 'no-answer';
        triedMemberIds.add(target);
        continue;
      }
      ownerHint = result.member;
      if (result.type === 'moved') {
        releasedTokens.push(result.token);
        // The shard's next owner runs the waiting order, even if another entry
        // returns an error for this request.
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
      rendezvousOrder(shardHashKey(shard), liveMemberIds())[0],
    successors: shard => ownerCandidates(shard).filter(peer => peer !== member),
  };
}

/**
 * Timeout of an order at the shard owner; less than `leftMs`, so that the
 * owner's answer arrives before the deadline.
 */
function forwardedTimeoutMs(leftMs: number): number {
  const marginMs = Math.min(MAX_ANSWER_MARGIN_MS, leftMs * ANSWER_MARGIN_RATIO);
  return Math.max(0, leftMs - marginMs);
}

/** Key of a shard for rendezvous hashing over the entries. */
function shardHashKey(shard: number): string {
  return `ledger/${shard}`;
}

/** Waits for a result; resolves to `no-answer` when the signal aborts first. */
function raceAbort(
  forwardResult: Promise<ExecuteResult>,
  signal: AbortSignal,
): Promise<ExecuteResult> {
  return new Promise((resolve, reject) => {
    const onAbort = () => resolve({type: 'no-answer'});
    signal.addEventListener('abort', onAbort, {once: true});
    forwardResult
      .then(resolve, reject)
      .finally(() => signal.removeEventListener('abort', onAbort));
  });
}

function noTargetError(
  signal: AbortSignal,
  isPastDeadline: boolean,
): ServingError {
  if (signal.aborted) {
    return new ServingError('cancelled', 'the caller cancelled the order', {
      run: 'not-run',
    });
  }
  if (isPastDeadline) {
    return new ServingError(
      'deadline-exceeded',
      'the deadline passed before an entry accepted the order',
      {
        run: 'not-run',
      },
    );
  }
  return new ServingError('not-ready', 'no entry can accept the order now', {
    run: 'not-run',
    retryAfterMs: 1_000,
  });
}

function toMayHaveRunError(cause: ServingError): ServingError {
  const kind = cause.kind === 'key-conflict' ? cause.kind : 'outcome-unknown';
  return new ServingError(
    kind,
    `the order was forwarded to another entry and may run there: ${cause.message}`,
    {run: 'may-have-run', retryAfterMs: cause.retryAfterMs, cause},
  );
}

function unreachablePeerError(peer: string): ServingError {
  return new ServingError(
    'interrupted',
    `entry ${peer} is no longer reachable`,
  );
}

/** True for errors of a peer that certainly has not accepted the order. */
function isNotAcceptedError(error: ServingError): boolean {
  return isServingError(error, 'leaving') || isServingError(error, 'not-ready');
}
