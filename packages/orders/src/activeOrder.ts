/** One order that this process works on, from the queue for its claim to its end. */
import {ServingError, type Clock, type RunState} from '@skylarkfield/base';
import {createMachine, interpret, state, transition} from 'robot3';
import type {OrderCall, OrderReply} from './contracts.js';

/** What a claim needs of an order. */
export interface OrderRequest {
  readonly id: string;
  readonly print: string;
  readonly service: string;
  readonly call: OrderCall;
  /** Monotonic milliseconds of this process by which it has to be answered. */
  readonly deadline: number;
  /** Claims for this id that are void: never sent, never will be. */
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
  /** Not sent here and never will be: it has to be brought to the shard's owner. */
  | {
      readonly type: 'moved';
      /** The shard's new owner, if known. */
      readonly member: string | undefined;
      /** The void claim. */
      readonly token: string;
      /** Whether the order waits in the ledger, where the next owner runs it. */
      readonly isWaiting: boolean;
    };

/**
 * `queued`: waits for the next write. `committing`: its claim is being written.
 * `claimed`: the claim is in the ledger, nothing has been sent. `handing`: its
 * hand-over is being written, so it may neither be sent nor called not run.
 * `sent`: the call has gone to an endpoint. `ended`: settled, given up or moved.
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
  /** Resolves once its claim is in the ledger, or never will be by this process. */
  readonly claimDecided: Promise<void>;
  /** The claim's token, once it has one. */
  token: string;
  state(): ActiveOrderState;
  /** True once `decided` has resolved. */
  isClaimDecided(): boolean;
  /** True once it has ended by being handed over. */
  isMoved(): boolean;
  /**
   * Monotonic milliseconds until which it may be sent: the latest of those who
   * wait. Were it the first one's, a caller with little time would end the
   * order of one that joined it with more.
   */
  deadline(): number;
  /** Moves on; false when the state does not allow it. */
  tryTransition(event: ActiveOrderEvent): boolean;
  /** Ends with a result; later results are dropped. */
  complete(result: OrderCompletion): void;
  /**
   * Waits for the end. A waiter that leaves early gets `deadline-exceeded` or
   * `cancelled`; the last one to leave an unsent order gives it up, so that
   * the answer `not-run` is true.
   */
  join(deadline: number, signal: AbortSignal): Promise<OrderCompletion>;
  /** Fires once when the order was given up or moved before it was sent. */
  readonly stopSignal: AbortSignal;
}

/** States and transitions of an order; nothing is sent but from `claimed`, and nothing unsent is given up after `send`. */
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
 * Makes the flight of one order.
 *
 * @example
 * const flight = createFlight(request, 3, clock);
 * const result = await flight.join(request.deadline, signal);
 */
export function createActiveOrder(
  request: OrderRequest,
  shard: number,
  clock: Clock,
  origin: 'caller' | 'ledger' = 'caller',
): ActiveOrder {
  const interpreter = interpret(activeOrderMachine, () => undefined);
  const stopController = new AbortController();
  // An order from the ledger is nobody's to give up: it runs also when no caller waits for it.
  let waiters = origin === 'ledger' ? 1 : 0;
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

  /** What a waiter that leaves is told; gives the order up when it may. */
  function removeWaiter(kind: 'deadline-exceeded' | 'cancelled'): ServingError {
    waiters -= 1;
    const mayCancel = waiters === 0 && unsentStates.has(current());
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
    waiters += 1;
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
        // An order that has just ended is answered with its end, not with the waiter's leaving.
        if (current() !== 'ended' && stopWaiting()) {
          reject(removeWaiter(kind));
        }
      }
      void done.then(result => {
        if (stopWaiting()) {
          waiters -= 1;
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

/** States in which it is not known whether the ledger takes the claim. */
const undecidedStates: ReadonlySet<ActiveOrderState> = new Set([
  'queued',
  'committing',
]);

/** States from which an order can be given up so that it certainly never runs. */
const unsentStates: ReadonlySet<ActiveOrderState> = new Set([
  'queued',
  'committing',
  'claimed',
]);

const abandonMessages = {
  'deadline-exceeded': 'the deadline passed before the order was answered',
  cancelled: 'the caller gave the order up',
};
