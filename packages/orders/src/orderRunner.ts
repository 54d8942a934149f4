/** Dispatches claimed orders and reports their outcomes. */
import {
  isServingError,
  ServingError,
  sleep,
  toServingError,
  type Clock,
  type Random,
} from '@skylarkfield/base';
import type {Dispatch, OrderReply} from './contracts.js';
import type {ActiveOrder} from './activeOrder.js';

/** What is known of a claim after its dispatch. */
export type RunOutcome =
  | {readonly state: 'settled'; readonly reply: OrderReply}
  | {readonly state: 'unknown'}
  | {readonly state: 'released'};

export interface OrderRunner {
  /** Runs a claimed order until its end or hand-over, unless it is running. */
  run(order: ActiveOrder): void;
}

export interface OrderRunnerOptions {
  readonly dispatch: Dispatch;
  readonly clock: Clock;
  readonly random: Random;
  /** Time past the order's deadline that a sent call may take to end. */
  readonly graceMs: number;
  readonly maxAttempts: number;
  /** False once this process has stopped. */
  readonly isAlive: () => boolean;
  readonly onDidFinish: (order: ActiveOrder, outcome: RunOutcome) => void;
}

const BASE_BACKOFF_MS = 20;

/** Result of one attempt. */
type AttemptResult =
  | {readonly type: 'reply'; readonly reply: OrderReply}
  | {readonly type: 'unsent'; readonly error: ServingError}
  | {readonly type: 'unknown'; readonly error: ServingError};

/**
 * Creates the runner for the claims of one process.
 *
 * A further attempt under the same claim is made only when no byte of the
 * previous one was sent.
 *
 * @example
 * runner.run(order);
 */
export function createOrderRunner(options: OrderRunnerOptions): OrderRunner {
  const {clock, random, onDidFinish} = options;
  const running = new Set<ActiveOrder>();

  async function attempt(
    order: ActiveOrder,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    const {service, call} = order.request;
    let wasSent = false;
    function begin(): boolean {
      // Called again after an endpoint that received nothing.
      if (wasSent) {
        order.tryTransition('revertSend');
      }
      // After a pause of the process the caller may have got `not-run` already.
      const mayBegin = options.isAlive() && clock.now() < order.deadline();
      wasSent = mayBegin && order.tryTransition('send');
      return wasSent;
    }
    try {
      const reply = await options.dispatch(service, call, signal, begin);
      return {type: 'reply', reply};
    } catch (caught) {
      const error = toServingError(caught);
      // Cancelled before `begin`: nothing was sent, regardless of `run`.
      const isCancelledBeforeSend = !wasSent && error.kind === 'cancelled';
      const isUnsent = isCancelledBeforeSend || error.run === 'not-run';
      if (
        wasSent &&
        isUnsent &&
        isServingError(error, 'endpoint-unavailable')
      ) {
        order.tryTransition('revertSend');
        return {type: 'unsent', error};
      }
      return wasSent || !isUnsent
        ? {type: 'unknown', error}
        : {type: 'unsent', error};
    }
  }

  function finish(
    order: ActiveOrder,
    result: Exclude<AttemptResult, {type: 'unsent'}>,
  ) {
    if (result.type === 'reply') {
      onDidFinish(order, {state: 'settled', reply: result.reply});
      order.complete({type: 'reply', reply: result.reply, isReplay: false});
      return;
    }
    onDidFinish(order, {state: 'unknown'});
    const {kind, message} = result.error;
    const mayHaveRun = result.error.run === 'may-have-run';
    const error = new ServingError(
      mayHaveRun && kind !== 'cancelled' ? kind : 'outcome-unknown',
      message,
      {run: 'may-have-run', cause: result.error},
    );
    order.complete({type: 'error', error});
  }

  /** Waits before the next attempt; false when there is none. */
  async function waitForRetry(
    order: ActiveOrder,
    attempts: number,
    error: ServingError,
    signal: AbortSignal,
  ): Promise<boolean> {
    const backoffMs = BASE_BACKOFF_MS * 2 ** attempts * (0.5 + random.next());
    const isInTime = clock.now() + backoffMs < order.deadline();
    const isRetryable = error.kind === 'endpoint-unavailable';
    if (!isRetryable || !isInTime || attempts >= options.maxAttempts) {
      return false;
    }
    await sleep(clock, backoffMs, signal).catch(() => undefined);
    return order.state() === 'claimed';
  }

  async function runAttempts(
    order: ActiveOrder,
    signal: AbortSignal,
  ): Promise<void> {
    for (let attempts = 1; options.isAlive(); attempts++) {
      const result = await attempt(order, signal);
      if (result.type !== 'unsent') {
        finish(order, result);
        return;
      }
      if (!isHeldHere(order)) {
        return;
      }
      if (await waitForRetry(order, attempts, result.error, signal)) {
        continue;
      }
      if (!isHeldHere(order)) {
        return;
      }
      abandon(order, result.error);
      return;
    }
  }

  /** False once the claim is handed over: the next owner decides then. */
  function isHeldHere(order: ActiveOrder): boolean {
    return options.isAlive() && order.state() !== 'handing' && !order.isMoved();
  }

  function abandon(order: ActiveOrder, error: ServingError): void {
    const isLate = clock.now() >= order.deadline();
    const deadlineError = new ServingError(
      'deadline-exceeded',
      'the deadline passed before the order was sent',
      {run: 'not-run'},
    );
    onDidFinish(order, {state: 'released'});
    order.complete({type: 'error', error: isLate ? deadlineError : error});
  }

  /** Remaining time of the call in milliseconds, including the grace period. */
  function remainingMs(order: ActiveOrder): number {
    return order.deadline() + options.graceMs - clock.now();
  }

  return {
    run(order) {
      if (running.has(order)) {
        return;
      }
      running.add(order);
      const timeLimit = new AbortController();
      let timer = clock.after(remainingMs(order), onLimit);
      function onLimit(): void {
        // A caller with a later deadline may have joined meanwhile.
        if (remainingMs(order) <= 0) {
          timeLimit.abort();
          return;
        }
        timer = clock.after(remainingMs(order), onLimit);
      }
      order.stopSignal.addEventListener('abort', () => timeLimit.abort());
      void runAttempts(order, timeLimit.signal).finally(() => {
        running.delete(order);
        timer.dispose();
      });
    },
  };
}
