/** Dispatches a claimed order and finds out how that ended. */
import {
  isServingError,
  ServingError,
  sleep,
  toServingError,
  type Clock,
  type Random,
} from '@skylarkfield/base';
import type {Dispatch, OrderReply} from './contracts.js';
import type {Flight} from './flight.js';

/** What is known of a claim after its dispatch. */
export type RunOutcome =
  | {readonly state: 'settled'; readonly reply: OrderReply}
  | {readonly state: 'unknown'}
  | {readonly state: 'released'};

export interface OrderRunner {
  /** Works on a claimed order until it ends or is handed over; does nothing when it is at it already. */
  run(flight: Flight): void;
}

export interface OrderRunnerOptions {
  readonly dispatch: Dispatch;
  readonly clock: Clock;
  readonly random: Random;
  /** How long a sent call may go on after its deadline, so that its outcome gets known. */
  readonly graceMs: number;
  readonly maxAttempts: number;
  /** False once this process has stopped. */
  readonly isAlive: () => boolean;
  readonly onDidFinish: (flight: Flight, outcome: RunOutcome) => void;
}

const FIRST_BACKOFF_MS = 20;

/** How one attempt ended. */
type Attempt =
  | {readonly type: 'reply'; readonly reply: OrderReply}
  | {readonly type: 'unsent'; readonly error: ServingError}
  | {readonly type: 'unknown'; readonly error: ServingError};

/**
 * Makes the runner of one process's claims.
 *
 * Another attempt under the same claim is made only when not a byte of the
 * last one was sent.
 *
 * @example
 * runner.run(flight);
 */
export function createOrderRunner(options: OrderRunnerOptions): OrderRunner {
  const {clock, random, onDidFinish} = options;
  const running = new Set<Flight>();

  async function attempt(
    flight: Flight,
    signal: AbortSignal,
  ): Promise<Attempt> {
    const {service, call} = flight.request;
    let wasSent = false;
    function begin(): boolean {
      // A second call says that the endpoint before got nothing and another is tried.
      if (wasSent) {
        flight.tell('unsend');
      }
      // A process that was paused wakes here: it must not send what its caller was refused meanwhile.
      const mayBegin = options.isAlive() && clock.now() < flight.deadline();
      wasSent = mayBegin && flight.tell('send');
      return wasSent;
    }
    try {
      const reply = await options.dispatch(service, call, signal, begin);
      return {type: 'reply', reply};
    } catch (caught) {
      const error = toServingError(caught);
      // A wait that was cancelled before `begin` sent nothing, whatever its error says.
      const isWait = !wasSent && error.kind === 'cancelled';
      const isUnsent = isWait || error.run === 'not-run';
      if (
        wasSent &&
        isUnsent &&
        isServingError(error, 'endpoint-unavailable')
      ) {
        flight.tell('unsend');
        return {type: 'unsent', error};
      }
      return wasSent || !isUnsent
        ? {type: 'unknown', error}
        : {type: 'unsent', error};
    }
  }

  function finish(flight: Flight, result: Exclude<Attempt, {type: 'unsent'}>) {
    if (result.type === 'reply') {
      onDidFinish(flight, {state: 'settled', reply: result.reply});
      flight.end({type: 'reply', reply: result.reply, isReplay: false});
      return;
    }
    onDidFinish(flight, {state: 'unknown'});
    const {kind, message} = result.error;
    const isSpecific = result.error.run === 'may-have-run';
    const error = new ServingError(
      isSpecific && kind !== 'cancelled' ? kind : 'outcome-unknown',
      message,
      {run: 'may-have-run', cause: result.error},
    );
    flight.end({type: 'error', error});
  }

  /** Waits before the next attempt; false when there is none. */
  async function mayTryAgain(
    flight: Flight,
    tries: number,
    error: ServingError,
    signal: AbortSignal,
  ): Promise<boolean> {
    const backoffMs = FIRST_BACKOFF_MS * 2 ** tries * (0.5 + random.next());
    const isInTime = clock.now() + backoffMs < flight.deadline();
    const isHopeful = error.kind === 'endpoint-unavailable';
    if (!isHopeful || !isInTime || tries >= options.maxAttempts) {
      return false;
    }
    await sleep(clock, backoffMs, signal).catch(() => undefined);
    return flight.state() === 'claimed';
  }

  async function work(flight: Flight, signal: AbortSignal): Promise<void> {
    for (let tries = 1; options.isAlive(); tries++) {
      const result = await attempt(flight, signal);
      if (result.type !== 'unsent') {
        finish(flight, result);
        return;
      }
      if (!isStillOurs(flight)) {
        return;
      }
      if (await mayTryAgain(flight, tries, result.error, signal)) {
        continue;
      }
      if (!isStillOurs(flight)) {
        return;
      }
      giveUp(flight, result.error);
      return;
    }
  }

  /** False once its claim is handed over: what becomes of it is the next owner's to say. */
  function isStillOurs(flight: Flight): boolean {
    return (
      options.isAlive() && flight.state() !== 'handing' && !flight.isMoved()
    );
  }

  function giveUp(flight: Flight, error: ServingError): void {
    const isLate = clock.now() >= flight.deadline();
    const late = new ServingError(
      'deadline-exceeded',
      'the deadline passed before the order was sent',
      {run: 'not-run'},
    );
    onDidFinish(flight, {state: 'released'});
    flight.end({type: 'error', error: isLate ? late : error});
  }

  /** Time that the call may still take, in milliseconds. */
  function leftMs(flight: Flight): number {
    return flight.deadline() + options.graceMs - clock.now();
  }

  return {
    run(flight) {
      if (running.has(flight)) {
        return;
      }
      running.add(flight);
      const limit = new AbortController();
      let timer = clock.after(leftMs(flight), onLimit);
      function onLimit(): void {
        // A caller with more time may have joined since the timer was set.
        if (leftMs(flight) <= 0) {
          limit.abort();
          return;
        }
        timer = clock.after(leftMs(flight), onLimit);
      }
      flight.stopped.addEventListener('abort', () => limit.abort());
      void work(flight, limit.signal).finally(() => {
        running.delete(flight);
        timer.dispose();
      });
    },
  };
}
