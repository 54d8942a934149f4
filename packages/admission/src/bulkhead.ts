/**
 * One service's own concurrency, queue and retry budget, so that a service that
 * hangs, slows, fails or is flooded takes nothing from the others.
 */
import {
  ServingError,
  type Clock,
  type DecisionLog,
  type Disposable,
  type Random,
} from '@skylarkfield/base';
import {createBulkheadMachine, type BulkheadState} from './bulkheadMachine.js';
import {createCapacityShare} from './capacityShare.js';
import {createConcurrencyLimit, type LimitPolicy} from './concurrencyLimit.js';
import type {
  AdmissionRequest,
  Ending,
  GuardedService,
  Permit,
} from './contracts.js';
import {createFairQueue} from './fairQueue.js';
import {createRetryBudget} from './retryBudget.js';
import {createWaitEstimate} from './waitEstimate.js';

export interface Bulkhead {
  admit(ask: AdmissionRequest, signal: AbortSignal): Promise<Permit>;
  tryRetry(): boolean;
  configure(service: GuardedService): void;
  setEntryCount(count: number): void;
  reportSlots(slots: number, busy: number | undefined): void;
  /** Requests in flight relative to the limit, 0 to 1. */
  loadFraction(): number;
  /** Ends every waiting request as `not-run`. */
  close(): void;
  dump(): unknown;
}

export interface BulkheadOptions {
  readonly service: GuardedService;
  readonly clock: Clock;
  readonly random: Random;
  readonly decisions: DecisionLog;
  readonly entryCount: number;
  readonly limitPolicy: LimitPolicy;
  weightOf(customer: string): number;
}

/** A request in the queue. */
interface Waiter {
  readonly ask: AdmissionRequest;
  readonly customer: string;
  readonly urgency: number;
  readonly cost: number;
  readonly askedAt: number;
  resolve(permit: Permit): void;
  reject(error: ServingError): void;
  /** Ends the waiter's timer and its hold on the caller's signal. */
  detach(): void;
}

/** RFC 9218's urgency of a request that names none; lower ones are more important. */
const DEFAULT_URGENCY = 3;

const LEAST_RETRY_AFTER_MS = 100;
const MOST_RETRY_AFTER_MS = 30_000;

/** Spread of Retry-After, so that those refused together do not return together. */
const RETRY_AFTER_JITTER = 0.5;

/**
 * A deadline is looked at again after no less than this. The time left is a
 * difference of fractions: a rest too small to move the clock would call the
 * check again at the same instant for ever, and the process would stand still.
 */
const LEAST_RECHECK_MS = 1;

/** A change of state is noted as a decision at most this often. */
const NOTE_INTERVAL_MS = 5000;

/** Why a state was entered, for the decision log. */
const stateReasons: Readonly<Record<BulkheadState, string>> = {
  flowing: 'the queue is empty again',
  queueing: 'all places of this entry are taken',
  refusing: 'the queue is full or deadlines cannot be met',
  closed: 'the service was removed',
};

/**
 * Makes the bulkhead of one service.
 *
 * @example
 * const permit = await bulkhead.admit(ask, signal);
 * permit.release({outcome: 'ok', latencyMs: 12});
 */
export function createBulkhead(options: BulkheadOptions): Bulkhead {
  const {clock, random, decisions} = options;
  let service = options.service;
  const queue = createFairQueue<Waiter>(options.weightOf);
  const share = createCapacityShare(service.concurrency);
  const retries = createRetryBudget();
  const estimate = createWaitEstimate(clock);
  const limit = createConcurrencyLimit(options.limitPolicy, {
    ceiling: service.concurrency,
    targetMs: service.targetMs,
  });
  const machine = createBulkheadMachine(noteState);
  let inFlight = 0;
  let refusals = 0;
  let notedAt = -Infinity;
  share.setEntryCount(options.entryCount);
  limit.setCeiling(share.current());

  function noteState(entered: BulkheadState) {
    const isTooSoon = clock.now() - notedAt < NOTE_INTERVAL_MS;
    if (entered === 'queueing' || (entered !== 'closed' && isTooSoon)) {
      return;
    }
    notedAt = clock.now();
    decisions.note('admission', service.name, entered, stateReasons[entered], {
      limit: currentLimit(),
      inFlight,
      waiting: queue.size,
      refusals,
    });
  }

  function currentLimit(urgency = DEFAULT_URGENCY): number {
    const own = Math.floor(limit.current());
    if (urgency < DEFAULT_URGENCY) {
      return Math.max(1, own + share.overdraft());
    }
    return Math.max(1, Math.floor(own * share.ordinaryFraction()));
  }

  /** Nobody who is as important waits: what waits may have no place where this request has one. */
  function isNext(ask: AdmissionRequest): boolean {
    return ask.urgency < (queue.headUrgency() ?? Infinity);
  }

  function expectedWaitMs(ask: AdmissionRequest): number {
    if (inFlight < currentLimit(ask.urgency) && isNext(ask)) {
      return 0;
    }
    const ahead =
      queue.costBefore(ask.urgency) + queue.costAheadWithin(ask) + ask.cost / 2;
    return estimate.waitMs(ahead, currentLimit(ask.urgency), ask.urgency);
  }

  function retryAfterMs(ask: AdmissionRequest): number {
    const jitter = 1 + random.next() * RETRY_AFTER_JITTER;
    const waitMs = Math.max(LEAST_RETRY_AFTER_MS, expectedWaitMs(ask));
    return Math.ceil(Math.min(waitMs * jitter, MOST_RETRY_AFTER_MS));
  }

  function overloaded(ask: AdmissionRequest): ServingError {
    refusals += 1;
    machine.send('refuse');
    const message = `all places of ${service.name} are taken and its queue is full`;
    return new ServingError('overloaded', message, {
      run: 'not-run',
      retryAfterMs: retryAfterMs(ask),
    });
  }

  function tooLate(ask: AdmissionRequest): ServingError {
    refusals += 1;
    machine.send('refuse');
    const message = `${service.name} cannot answer before the deadline`;
    return new ServingError('deadline-exceeded', message, {
      run: 'not-run',
      retryAfterMs: retryAfterMs(ask),
    });
  }

  /**
   * With nothing in flight a request whose deadline is still ahead is let
   * through whatever the estimate says. Else a service that was slow once would
   * be refused for ever, since only requests let through can show that it is
   * fast again.
   */
  function isHopeless(ask: AdmissionRequest, waitMs: number): boolean {
    const leftMs = ask.deadline - clock.now();
    if (leftMs <= 0) {
      return true;
    }
    return inFlight > 0 && waitMs + estimate.serviceMs() > leftMs;
  }

  function start(ask: AdmissionRequest, askedAt: number): Permit {
    const startedAt = clock.now();
    inFlight += 1;
    estimate.noteStart();
    retries.earn();
    let isReleased = false;
    return {
      waitedMs: startedAt - askedAt,
      release(ending) {
        if (isReleased) {
          return;
        }
        isReleased = true;
        learn(ask, startedAt, ending);
        inFlight -= 1;
        drain();
      },
    };
  }

  function learn(ask: AdmissionRequest, startedAt: number, ending: Ending) {
    const isLimitUsed = inFlight >= currentLimit() || queue.size > 0;
    estimate.noteEnd(startedAt, ask.cost);
    if (ending.outcome === 'ok') {
      estimate.noteLatency(ending.latencyMs);
    }
    // A fast failure is no sign of room, and a caller that left early shows nothing.
    const isSlow = ending.latencyMs > service.targetMs;
    if (ending.outcome === 'ok' || ending.outcome === 'overloaded' || isSlow) {
      limit.observe({
        latencyMs: ending.latencyMs,
        isOverload: ending.outcome === 'overloaded',
        isLimitUsed,
      });
    }
  }

  function drain() {
    while (inFlight < currentLimit(queue.headUrgency())) {
      const waiter = queue.shift();
      if (waiter === undefined) {
        machine.send('clear');
        return;
      }
      waiter.detach();
      if (isHopeless(waiter.ask, 0)) {
        waiter.reject(tooLate(waiter.ask));
      } else {
        waiter.resolve(start(waiter.ask, waiter.askedAt));
      }
    }
  }

  function drop(waiter: Waiter, error: ServingError) {
    queue.remove(waiter);
    waiter.detach();
    waiter.reject(error);
  }

  function refuseDisplaced(waiter: Waiter | undefined) {
    waiter?.detach();
    waiter?.reject(overloaded(waiter.ask));
  }

  /** Refuses at the moment when the deadline comes out of reach, not when it passes. */
  function watchDeadline(waiter: Waiter): Disposable {
    let timer = arm();
    function arm(): Disposable {
      const leftMs = waiter.ask.deadline - clock.now() - estimate.serviceMs();
      return clock.after(Math.max(LEAST_RECHECK_MS, leftMs), check);
    }
    function check() {
      const leftMs = waiter.ask.deadline - clock.now();
      if (leftMs > estimate.serviceMs()) {
        timer = arm();
        return;
      }
      drop(waiter, tooLate(waiter.ask));
    }
    return {dispose: () => timer.dispose()};
  }

  function enqueue(
    ask: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<Permit> {
    return new Promise((resolve, reject) => {
      const waiter: Waiter = {
        ask,
        customer: ask.customer,
        urgency: ask.urgency,
        cost: ask.cost,
        askedAt: clock.now(),
        resolve,
        reject,
        detach() {
          timer.dispose();
          signal.removeEventListener('abort', onAbort);
        },
      };
      const timer = watchDeadline(waiter);
      const onAbort = () => drop(waiter, cancelled());
      signal.addEventListener('abort', onAbort, {once: true});
      queue.push(waiter);
      machine.send('wait');
    });
  }

  return {
    async admit(ask, signal) {
      if (signal.aborted) {
        throw cancelled();
      }
      if (machine.state() === 'closed') {
        throw removed(service.name);
      }
      estimate.noteAsk(ask.urgency, ask.cost);
      if (isHopeless(ask, expectedWaitMs(ask))) {
        throw tooLate(ask);
      }
      if (inFlight < currentLimit(ask.urgency) && isNext(ask)) {
        return start(ask, clock.now());
      }
      if (queue.size >= service.queue) {
        const displaced = queue.displaceFor(ask);
        if (displaced === undefined) {
          throw overloaded(ask);
        }
        refuseDisplaced(displaced);
      }
      return enqueue(ask, signal);
    },
    tryRetry: () => retries.tryTake(),
    configure(next) {
      service = next;
      share.setConcurrency(next.concurrency);
      limit.setCeiling(share.current());
      limit.setTarget(next.targetMs);
      while (queue.size > service.queue) {
        refuseDisplaced(queue.pop());
      }
      drain();
    },
    setEntryCount(count) {
      share.setEntryCount(count);
      limit.setCeiling(share.current());
      drain();
    },
    reportSlots(slots, busy) {
      const isWanted = inFlight >= currentLimit();
      share.report(slots, busy, isWanted);
      limit.setCeiling(share.current());
      drain();
    },
    loadFraction: () => Math.min(1, inFlight / currentLimit()),
    close() {
      machine.send('close');
      for (const waiter of queue.items()) {
        drop(waiter, removed(service.name));
      }
    },
    dump: () => ({
      service: service.name,
      state: machine.state(),
      limit: limit.current(),
      share: share.current(),
      overdraft: share.overdraft(),
      ordinaryFraction: share.ordinaryFraction(),
      inFlight,
      waiting: queue.size,
      queueLimit: service.queue,
      customers: queue.flowCount(),
      refusals,
      retriesLeft: retries.available(),
      serviceMs: estimate.serviceMs(),
    }),
  };
}

function cancelled(): ServingError {
  return new ServingError('cancelled', 'the caller gave up while waiting', {
    run: 'not-run',
  });
}

function removed(name: string): ServingError {
  return new ServingError('unknown-service', `the service ${name} was removed`);
}
