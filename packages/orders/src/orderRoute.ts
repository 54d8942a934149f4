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
import type {FlightResult, OrderRequest} from './flight.js';
import {readForwardAnswer, type OrderResult} from './orderAnswers.js';
import {uniqueText} from './orderIdentity.js';

export interface OrderRoute {
  /** Works on an order wherever its shard is owned. */
  run(
    shard: number,
    request: OrderRequest,
    signal: AbortSignal,
  ): Promise<Exclude<FlightResult, {type: 'moved'}>>;
  /** Asks a peer; rejects as soon as it can't answer any more. */
  askWhileLive<T>(
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

export interface OrderRouteOptions {
  readonly network: OrderNetwork;
  readonly clock: Clock;
  readonly random: Random;
  readonly member: string;
  /** Ids of the entries that take new work, this one included. */
  readonly liveMembers: () => readonly string[];
  /** Ids of the entries that can still answer: those live and those leaving. */
  readonly answeringMembers: () => readonly string[];
  readonly isLeaving: () => boolean;
  readonly workHere: (
    request: OrderRequest,
    signal: AbortSignal,
  ) => Promise<OrderResult>;
}

const MAX_HOPS = 12;
const LIVENESS_CHECK_MS = 200;
const ANSWER_MARGIN = 0.2;
const MAX_ANSWER_MARGIN_MS = 50;
const RETRY_PAUSE_MS = 50;

/**
 * Makes the route of one process.
 *
 * @example
 * const result = await route.run(shard, request, signal);
 */
export function createOrderRoute(options: OrderRouteOptions): OrderRoute {
  const {network, clock, random, member, liveMembers} = options;

  function isReachable(other: string): boolean {
    return liveMembers().includes(other);
  }

  function canAnswer(other: string): boolean {
    return options.answeringMembers().includes(other);
  }

  function askWhileLive<T>(
    other: string,
    ask: (timeoutMs: number) => Promise<T>,
    deadline: number,
  ): Promise<T> {
    const timeoutMs = Math.max(1, deadline - clock.now());
    return new Promise((resolve, reject) => {
      let timer: Disposable | undefined;
      function check() {
        if (!canAnswer(other)) {
          reject(silentPeer(other));
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
  ): Promise<OrderResult> {
    const {id, print, service, call, deadline, released} = request;
    const body = {
      id,
      print,
      attempt: uniqueText(random),
      service,
      call,
      leftMs: forwardedTime(deadline - clock.now()),
      sentAtWall: clock.wall(),
      released,
    };
    try {
      const answer = await askWhileLive(
        other,
        timeoutMs => network.ask(other, 'orderForward', body, timeoutMs),
        deadline,
      );
      return readForwardAnswer(answer as ForwardAnswer);
    } catch (error) {
      const isUnsent =
        isServingError(error, 'interrupted') && error.run === 'not-run';
      return {type: isUnsent ? 'unreached' : 'unanswered'};
    }
  }

  function candidates(shard: number): readonly string[] {
    return rendezvousOrder(placeName(shard), [
      ...new Set([...liveMembers(), member]),
    ]);
  }

  function nextTarget(
    shard: number,
    hint: string | undefined,
    tried: ReadonlySet<string>,
  ): string | undefined {
    // A leaving entry must not take shards: whatever it claimed would end with it.
    const mayUse = (other: string) =>
      !tried.has(other) && !(other === member && options.isLeaving());
    const isHintUsable =
      hint !== undefined &&
      mayUse(hint) &&
      (hint === member || isReachable(hint));
    return isHintUsable ? hint : candidates(shard).find(mayUse);
  }

  async function run(
    shard: number,
    request: OrderRequest,
    signal: AbortSignal,
  ): Promise<Exclude<FlightResult, {type: 'moved'}>> {
    const released = [...request.released];
    const tried = new Set<string>();
    let hint: string | undefined;
    let mayRunElsewhere = false;

    function refuse(error: ServingError): FlightResult & {type: 'error'} {
      // A silent owner may still wake and run the order, so it can't be called not run.
      const mayRun = mayRunElsewhere && error.run === 'not-run';
      return {type: 'error', error: mayRun ? mayHaveRun(error) : error};
    }

    for (let hop = 0; hop < MAX_HOPS; hop++) {
      if (signal.aborted || clock.now() >= request.deadline) {
        break;
      }
      const target = nextTarget(shard, hint, tried);
      if (target === undefined) {
        break;
      }
      const attempt = {...request, released};
      const result =
        target === member
          ? await options.workHere(attempt, signal)
          : await raceAbort(forward(target, attempt), signal);
      hint = undefined;
      if (result.type === 'reply') {
        return result;
      }
      if (result.type === 'error') {
        if (target === member || !isTurnedAway(result.error)) {
          return refuse(result.error);
        }
        tried.add(target);
        continue;
      }
      if (result.type === 'unanswered' || result.type === 'unreached') {
        mayRunElsewhere ||= result.type === 'unanswered';
        tried.add(target);
        continue;
      }
      hint = result.member;
      if (result.type === 'moved') {
        released.push(result.token);
        // It waits in the ledger for whoever takes the shard: no later refusal makes it not run.
        mayRunElsewhere ||= result.isWaiting;
      }
      if (hint === target || hint === undefined) {
        await pause();
      }
    }
    return refuse(outOfWays(signal, request.deadline <= clock.now()));
  }

  function pause(): Promise<void> {
    return new Promise(resolve => clock.after(RETRY_PAUSE_MS, resolve));
  }

  return {
    run,
    askWhileLive,
    isReachable,
    canAnswer,
    preferredOwner: shard =>
      rendezvousOrder(placeName(shard), liveMembers())[0],
    successors: shard => candidates(shard).filter(other => other !== member),
  };
}

/** The owner gets a little less time than the caller has, so that its answer is back before the deadline. */
function forwardedTime(leftMs: number): number {
  const marginMs = Math.min(MAX_ANSWER_MARGIN_MS, leftMs * ANSWER_MARGIN);
  return Math.max(0, leftMs - marginMs);
}

/** Name under which a shard is placed among the entries. */
function placeName(shard: number): string {
  return `ledger/${shard}`;
}

function raceAbort(
  forwarded: Promise<OrderResult>,
  signal: AbortSignal,
): Promise<OrderResult> {
  return new Promise((resolve, reject) => {
    const onAbort = () => resolve({type: 'unanswered'});
    signal.addEventListener('abort', onAbort, {once: true});
    forwarded
      .then(resolve, reject)
      .finally(() => signal.removeEventListener('abort', onAbort));
  });
}

function outOfWays(signal: AbortSignal, isLate: boolean): ServingError {
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

function mayHaveRun(cause: ServingError): ServingError {
  const kind = cause.kind === 'key-conflict' ? cause.kind : 'outcome-unknown';
  return new ServingError(
    kind,
    `the order was given to another entry and may run there: ${cause.message}`,
    {run: 'may-have-run', retryAfterMs: cause.retryAfterMs, cause},
  );
}

function silentPeer(other: string): ServingError {
  return new ServingError('interrupted', `${other} is not reachable any more`);
}

/** Tells whether an error says that the entry asked took nothing on. */
function isTurnedAway(error: ServingError): boolean {
  return isServingError(error, 'leaving') || isServingError(error, 'not-ready');
}
