/** State of one order in this process, from queueing to completion. */
import {ServingError, type Clock, type RunState} from '@skylarkfield/base';
import {createMachine, interpret, state, transition} from 'robot3';
import type {OrderCall, OrderReply} from './contracts.js';

/** The data that the claim and the execution of an order need. */
export interface OrderRequest {
  /** Digest of customer and key; a random id for an order without a key. */
  readonly id: string;
  /** Digest of the request, to detect a key reused for another request. */
  readonly requestDigest: string;
  readonly service: string;
  readonly call: OrderCall;
  /** Deadline of the answer, in monotonic milliseconds of this process. */
  readonly deadline: number;
  /** Tokens of void claims of this order; it is never sent under them. */
  readonly releasedTokens: readonly string[];
}

/** How an order ended in this process. */
export type OrderCompletion =
  | {
      readonly type: 'reply';
      readonly reply: OrderReply;
      readonly isReplay: boolean;
    }
  | {readonly type: 'error'; readonly error: ServingError}
  /** This process will not send the order: it must go to the shard's owner. */
  | {
      readonly type: 'moved';
      /** Id of the shard's new owner; undefined when unknown. */
      readonly member: string | undefined;
      /** Token of the claim that is void. */
      readonly token: string;
      /** Whether the order waits in the ledger for the next owner to run it. */
      readonly isWaiting: boolean;
    };

/**
 * `queued`: the order waits for the next write of its shard. `committing`: the
 * claim is being written. `claimed`: the claim is in the ledger, nothing has
 * been sent. `handing`: the hand-over is being written, so the order may
 * neither be sent nor reported as not run. `sent`: the call has gone to an
 * endpoint. `ended`: the order was completed, cancelled or moved.
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
  /** Resolves when the order has ended in this process. */
  readonly completion: Promise<OrderCompletion>;
  /** Resolves once the claim is written or the order has ended without it. */
  readonly whenClaimDecided: Promise<void>;
  /** Token of the claim; empty before the order is claimed. */
  token: string;
  state(): ActiveOrderState;
  /** True once `whenClaimDecided` has resolved. */
  isClaimDecided(): boolean;
  /** True once the order has completed by moving to another owner. */
  isMoved(): boolean;
  /**
   * Monotonic milliseconds until which the order may be sent: the latest
   * deadline of all waiters. With only the first deadline, a caller with a
   * short timeout would end the order of a caller that joined with a longer
   * timeout.
   */
  deadline(): number;
  /** Applies an event; returns false if the current state does not allow it. */
  tryTransition(event: ActiveOrderEvent): boolean;
  /** Completes the order; has no effect if the order has ended. */
  complete(result: OrderCompletion): void;
  /**
   * Waits until the order has ended. Rejects with `deadline-exceeded` at the
   * deadline and with `cancelled` when the signal aborts. If no other waiter is
   * left and the order was not sent, the order is cancelled and the error is
   * `not-run`.
   */
  join(deadline: number, signal: AbortSignal): Promise<OrderCompletion>;
  /** Aborts when the order ends without having been sent. */
  readonly stopSignal: AbortSignal;
}

/** An order can be sent or handed over only in state `claimed`. */
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
 * Creates the in-memory state of one order.
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
  let resolveCompletion: (result: OrderCompletion) => void = () => undefined;
  const completion = new Promise<OrderCompletion>(
    resolve => (resolveCompletion = resolve),
  );
  let resolveClaimDecided: () => void = () => undefined;
  const whenClaimDecided = new Promise<void>(
    resolve => (resolveClaimDecided = resolve),
  );

  function currentState(): ActiveOrderState {
    return interpreter.machine.current as ActiveOrderState;
  }

  function tryTransition(event: ActiveOrderEvent): boolean {
    const previousState = currentState();
    interpreter.send(event);
    if (!undecidedStates.has(currentState())) {
      resolveClaimDecided();
    }
    return currentState() !== previousState;
  }

  function complete(result: OrderCompletion): void {
    const wasSent = currentState() === 'sent';
    if (!tryTransition('end')) {
      return;
    }
    isMoved = result.type === 'moved';
    resolveCompletion(result);
    if (!wasSent) {
      stopController.abort();
    }
  }

  /**
   * Returns the error for a waiter that stops waiting; cancels an unsent order
   * that has no other waiter.
   */
  function removeWaiter(kind: 'deadline-exceeded' | 'cancelled'): ServingError {
    waiterCount -= 1;
    const mayCancel = waiterCount === 0 && unsentStates.has(currentState());
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
    if (currentState() === 'ended') {
      return completion;
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
        const isFirstCall = !hasStopped;
        hasStopped = true;
        timer.dispose();
        signal.removeEventListener('abort', onAbort);
        return isFirstCall;
      }
      function abandon(kind: 'deadline-exceeded' | 'cancelled'): void {
        // An order that has ended yields its result instead of an error.
        if (currentState() !== 'ended' && stopWaiting()) {
          reject(removeWaiter(kind));
        }
      }
      void completion.then(result => {
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
    completion,
    whenClaimDecided,
    token: '',
    deadline: () => latestDeadline,
    state: currentState,
    isClaimDecided: () => !undecidedStates.has(currentState()),
    isMoved: () => isMoved,
    tryTransition,
    complete,
    join,
    stopSignal: stopController.signal,
  };
}

/** States in which it is not yet certain whether the claim is written. */
const undecidedStates: ReadonlySet<ActiveOrderState> = new Set([
  'queued',
  'committing',
]);

/** States in which an order can be cancelled: it certainly never runs then. */
const unsentStates: ReadonlySet<ActiveOrderState> = new Set([
  'queued',
  'committing',
  'claimed',
]);

const abandonMessages = {
  'deadline-exceeded': 'the deadline passed before the order was answered',
  cancelled: 'the caller cancelled the order',
};
