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

/**
 * Outcome of a claim. `settled`: the order has run. `unknown`: the order may
 * have run. `released`: the order was not sent, and the claim is void.
 */
export type RunOutcome =
  | {readonly state: 'settled'; readonly reply: OrderReply}
  | {readonly state: 'unknown'}
  | {readonly state: 'released'};

export interface OrderRunner {
  /**
   * Runs a claimed order until it ends or is handed over. Has no effect if the
   * order is already running.
   */
  run(order: ActiveOrder): void;
}

export interface OrderRunnerOptions {
  readonly dispatch: Dispatch;
  readonly clock: Clock;
  readonly random: Random;
  /** How long a sent call may continue after the deadline of its order. */
  readonly graceMs: number;
  readonly maxAttempts: number;
  /** False once this process has stopped. */
  readonly isAlive: () => boolean;
  /** Called with the outcome of a claim, before the order completes. */
  readonly onDidFinish: (order: ActiveOrder, outcome: RunOutcome) => void;
}

const BASE_BACKOFF_MS = 20;

/**
 * Result of one dispatch. `unsent`: no byte was sent. `unknown`: the order may
 * have run.
 */
type AttemptResult =
  | {readonly type: 'reply'; readonly reply: OrderReply}
  | {readonly type: 'unsent'; readonly error: ServingError}
  | {readonly type: 'unknown'; readonly error: ServingError};

/**
 * Creates the runner for the claims of one process.
 *
 * Another attempt under the same claim is made only when no byte of the
 * previous attempt was sent.
 *
 * @example
 * runner.run(order);
 */
export function createOrderRunner(options: OrderRunnerOptions): OrderRunner {
  const {clock, random, onDidFinish} = options;
  const runningOrders = new Set<ActiveOrder>();

  async function attemptDispatch(
    order: ActiveOrder,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    const {service, call} = order.request;
    let wasSent = false;
    function begin(): boolean {
      // An earlier endpoint received nothing, so the call goes to another
      // endpoint.
      if (wasSent) {
        order.tryTransition('revertSend');
      }
      // If the process was paused past the deadline, the caller may already
      // have received `not-run`.
      const mayBegin = options.isAlive() && clock.now() < order.deadline();
      wasSent = mayBegin && order.tryTransition('send');
      return wasSent;
    }
    try {
      const reply = await options.dispatch(service, call, signal, begin);
      return {type: 'reply', reply};
    } catch (caught) {
      const error = toServingError(caught);
      // The call was cancelled before `begin`: nothing was sent, even if `run`
      // is `may-have-run`.
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

  /** Waits before another attempt; returns false when no attempt may follow. */
  async function waitForRetry(
    order: ActiveOrder,
    attemptCount: number,
    error: ServingError,
    signal: AbortSignal,
  ): Promise<boolean> {
    const backoffMs =
      BASE_BACKOFF_MS * 2 ** attemptCount * (0.5 + random.next());
    const isInTime = clock.now() + backoffMs < order.deadline();
    const isRetryable = error.kind === 'endpoint-unavailable';
    if (!isRetryable || !isInTime || attemptCount >= options.maxAttempts) {
      return false;
    }
    await sleep(clock, backoffMs, signal).catch(() => undefined);
    return order.state() === 'claimed';
  }

  async function runAttempts(
    order: ActiveOrder,
    signal: AbortSignal,
  ): Promise<void> {
    for (let attemptCount = 1; options.isAlive(); attemptCount++) {
      const result = await attemptDispatch(order, signal);
      if (result.type !== 'unsent') {
        finish(order, result);
        return;
      }
      if (!isClaimStillLocal(order)) {
        return;
      }
      if (await waitForRetry(order, attemptCount, result.error, signal)) {
        continue;
      }
      if (!isClaimStillLocal(order)) {
        return;
      }
      abandon(order, result.error);
      return;
    }
  }

  /**
   * False once the claim is being handed over or the process has stopped: then
   * this process must not finish the order.
   */
  function isClaimStillLocal(order: ActiveOrder): boolean {
    return options.isAlive() && order.state() !== 'handing' && !order.isMoved();
  }

  function abandon(order: ActiveOrder, error: ServingError): void {
    const isPastDeadline = clock.now() >= order.deadline();
    const deadlineError = new ServingError(
      'deadline-exceeded',
      'the deadline passed before the order was sent',
      {run: 'not-run'},
    );
    onDidFinish(order, {state: 'released'});
    order.complete({
      type: 'error',
      error: isPastDeadline ? deadlineError : error,
    });
  }

  /** Remaining time of the call in milliseconds, including the grace period. */
  function remainingMs(order: ActiveOrder): number {
    return order.deadline() + options.graceMs - clock.now();
  }

  return {
    run(order) {
      if (runningOrders.has(order)) {
        return;
      }
      runningOrders.add(order);
      const abortController = new AbortController();
      let timer = clock.after(remainingMs(order), onTimeLimit);
      function onTimeLimit(): void {
        // A caller with a later deadline may have joined meanwhile.
        if (remainingMs(order) <= 0) {
          abortController.abort();
          return;
        }
        timer = clock.after(remainingMs(order), onTimeLimit);
      }
      order.stopSignal.addEventListener('abort', () => abortController.abort());
      void runAttempts(order, abortController.signal).finally(() => {
        runningOrders.delete(order);
        timer.dispose();
      });
    },
  };
}
