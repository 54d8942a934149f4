/** State of one order in this process, from queueing to completion. */
import {ServingError, type Clock, type RunState} from '@skylarkfield/base';
import {createMachine, interpret, state, transition} from 'robot3';
import type {OrderCall, OrderReply} from './contracts.js';

/** The part of an order that its claim and its execution need. */
export interface OrderRequest {
  readonly id: string;
  readonly print: string;
  readonly service: string;
  readonly call: OrderCall;
  /** Deadline of the answer, in monotonic milliseconds of this process. */
  readonly deadline: number;
  /** Tokens of void claims for this id: never sent and never to be sent. */
  readonly released: readonly string[];
}

/** How an order ended in this process. */
export type OrderCompletion =
  | {
      readonly type: 'reply';
      readonly reply: OrderReply;
      readonly isReplay: boolean;
    }
  | {readonly type: 'error'; readonly error: ServingError}
  /** Never to be sent from here: must be routed to the owner of the shard. */
  | {
      readonly type: 'moved';
      /** New owner of the shard, if known. */
      readonly member: string | undefined;
      /** Token of the claim that is void. */
      readonly token: string;
      /** Whether the order waits in the ledger for the next owner to run it. */
      readonly isWaiting: boolean;
    };

/**
 * `queued`: waits for the next write. `committing`: its claim is being written.
 * `claimed`: the claim is in the ledger, nothing has been sent. `handing`: its
 * hand-over is being written, so it may neither be sent nor reported as not
 * run. `sent`: the call has gone to an endpoint. `ended`: completed, cancelled
 * or moved.
 */
export type ActiveOrderState =
  | 'queued'
  | 'committing'
  | 'claimed'
  | 'handing'
  | 'sent'
  | 'ended';

type ActiveOrderEvent =
  | 'commit'
  | 'claim'
  | 'startHandOver'
  | 'cancelHandOver'
  | 'send'
  | 'revertSend'
  | 'end';

export interface ActiveOrder {
  readonly request: OrderRequest;
  readonly shard: number;
  readonly done: Promise<OrderCompletion>;
  /** Resolves once this process has written the claim or never will. */
  readonly claimDecided: Promise<void>;
  /** Token of the claim; empty before there is one. */
  token: string;
  state(): ActiveOrderState;
  /** True once `claimDecided` has resolved. */
  isClaimDecided(): boolean;
  /** True once the order has completed by moving to another owner. */
  isMoved(): boolean;
  /**
   * Monotonic milliseconds until which the order may be sent: the latest
   * deadline of all waiters. Otherwise a caller with a short timeout would end
   * the order of a caller that joined with a longer one.
   */
  deadline(): number;
  /** Applies an event; false when the current state does not allow it. */
  tryTransition(event: ActiveOrderEvent): boolean;
  /** Completes the order; has no effect if the order has ended. */
  complete(result: OrderCompletion): void;
  /**
   * Waits for completion. A waiter that stops early gets `deadline-exceeded` or
   * `cancelled`; the last waiter cancels an unsent order, so that `not-run` is
   * true.
   */
  join(deadline: number, signal: AbortSignal): Promise<OrderCompletion>;
  /** Aborted once when the order was cancelled or moved before it was sent. */
  readonly stopSignal: AbortSignal;
}

/** An order is sent only from `claimed`, and not cancelled after `send`. */
const activeOrderMachine = createMachine({
  queued: state(transition('commit', 'committing'), transition('end', 'ended')),
  committing: state(transition('claim', 'claimed'), transition('end', 'ended')),
  claimed: state(
    transition('send', 'sent'),
    transition('startHandOver', 'handing'),
    transition('end', 'ended'),
  ),
  handing: state(
    transition('cancelHandOver', 'claimed'),
    transition('end', 'ended'),
  ),
  sent: state(transition('revertSend', 'claimed'), transition('end', 'ended')),
  ended: state(),
});

/**
 * Creates the state of one order.
 *
 * @example
 * const order = createActiveOrder(request, 3, clock);
 * const result = await order.join(request.deadline, signal);
 */
export function createActiveOrder(
  request: OrderRequest,
  shard: number,
  clock: Clock,
  origin: 'caller' | 'ledger' = 'caller',
): ActiveOrder {
  const interpreter = interpret(activeOrderMachine, () => undefined);
  const stopController = new AbortController();
  // An order from the ledger is executed even if no caller waits for it.
  let waiterCount = origin === 'ledger' ? 1 : 0;
  let isMoved = false;
  let latestDeadline = request.deadline;
  let resolveDone: (result: OrderCompletion) => void = () => undefined;
  const done = new Promise<OrderCompletion>(resolve => (resolveDone = resolve));
  let resolveClaimDecided: () => void = () => undefined;
  const claimDecided = new Promise<void>(
    resolve => (resolveClaimDecided = resolve),
  );

  function current(): ActiveOrderState {
    return interpreter.machine.current as ActiveOrderState;
  }

  function tryTransition(event: ActiveOrderEvent): boolean {
    const before = current();
    interpreter.send(event);
    if (!undecidedStates.has(current())) {
      resolveClaimDecided();
    }
    return current() !== before;
  }

  function complete(result: OrderCompletion): void {
    const wasSent = current() === 'sent';
    if (!tryTransition('end')) {
      return;
    }
    isMoved = result.type === 'moved';
    resolveDone(result);
    if (!wasSent) {
      stopController.abort();
    }
  }

  /** Returns the error of a leaving waiter; cancels the order if possible. */
  function removeWaiter(kind: 'deadline-exceeded' | 'cancelled'): ServingError {
    waiterCount -= 1;
    const mayCancel = waiterCount === 0 && unsentStates.has(current());
    const run: RunState = mayCancel ? 'not-run' : 'may-have-run';
    const error = new ServingError(kind, abandonMessages[kind], {run});
    if (run === 'not-run') {
      complete({type: 'error', error});
    }
    return error;
  }

  function join(
    deadline: number,
    signal: AbortSignal,
  ): Promise<OrderCompletion> {
    if (current() === 'ended') {
      return done;
    }
    waiterCount += 1;
    latestDeadline = Math.max(latestDeadline, deadline);
    return new Promise((resolve, reject) => {
      const timer = clock.after(deadline - clock.now(), () =>
        abandon('deadline-exceeded'),
      );
      const onAbort = () => abandon('cancelled');
      signal.addEventListener('abort', onAbort, {once: true});
      let hasStopped = false;
      function stopWaiting(): boolean {
        const isFirst = !hasStopped;
        hasStopped = true;
        timer.dispose();
        signal.removeEventListener('abort', onAbort);
        return isFirst;
      }
      function abandon(kind: 'deadline-exceeded' | 'cancelled'): void {
        // An order that has ended yields its result instead of an error.
        if (current() !== 'ended' && stopWaiting()) {
          reject(removeWaiter(kind));
        }
      }
      void done.then(result => {
        if (stopWaiting()) {
          waiterCount -= 1;
          resolve(result);
        }
      });
      if (signal.aborted) {
        onAbort();
      }
    });
  }

  return {
    request,
    shard,
    done,
    claimDecided,
    token: '',
    deadline: () => latestDeadline,
    state: current,
    isClaimDecided: () => !undecidedStates.has(current()),
    isMoved: () => isMoved,
    tryTransition,
    complete,
    join,
    stopSignal: stopController.signal,
  };
}

/** States in which it is open whether the claim will be written. */
const undecidedStates: ReadonlySet<ActiveOrderState> = new Set([
  'queued',
  'committing',
]);

/** States in which a cancelled order certainly never runs. */
const unsentStates: ReadonlySet<ActiveOrderState> = new Set([
  'queued',
  'committing',
  'claimed',
]);

const abandonMessages = {
  'deadline-exceeded': 'the deadline passed before the order was answered',
  cancelled: 'the caller cancelled the order',
};
