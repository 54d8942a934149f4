/**
 * Concurrency limit, queue and retry budget of one service, so that a service
 * that hangs, slows down, fails or is overloaded does not affect the others.
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
  RequestResult,
  ServiceAdmissionConfig,
  Permit,
} from './contracts.js';
import {createFairQueue} from './fairQueue.js';
import {createRetryBudget} from './retryBudget.js';
import {createWaitEstimator} from './waitEstimate.js';

export interface Bulkhead {
  admit(request: AdmissionRequest, signal: AbortSignal): Promise<Permit>;
  tryAcquireRetry(): boolean;
  configure(config: ServiceAdmissionConfig): void;
  setEntryCount(count: number): void;
  setReportedSlots(slots: number, outstanding: number | undefined): void;
  /** Returns the requests in flight relative to the limit, 0 to 1. */
  loadFraction(): number;
  /** Rejects every queued request as `not-run`. */
  close(): void;
  dump(): unknown;
}

export interface BulkheadOptions {
  readonly config: ServiceAdmissionConfig;
  readonly clock: Clock;
  readonly random: Random;
  readonly decisions: DecisionLog;
  readonly entryCount: number;
  readonly limitPolicy: LimitPolicy;
  weightOf(customer: string): number;
}

/** A request in the queue. */
interface QueuedRequest {
  readonly request: AdmissionRequest;
  readonly customer: string;
  readonly urgency: number;
  readonly cost: number;
  readonly requestedAt: number;
  resolve(permit: Permit): void;
  reject(error: ServingError): void;
  /** Disposes the deadline timer and removes the abort listener. */
  detach(): void;
}

/** RFC 9218 urgency of a request without one; lower values are more urgent. */
const DEFAULT_URGENCY = 3;

const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 30_000;

/** Largest relative jitter of Retry-After, to spread retries over time. */
const RETRY_AFTER_JITTER = 0.5;

/**
 * Minimum delay of a deadline check. The remaining time is a difference of
 * floating-point numbers: a remainder too small to advance the clock would
 * rerun the check at the same instant forever and hang the process.
 */
const MIN_RECHECK_MS = 1;

/** Minimum interval between logged state changes. */
const DECISION_INTERVAL_MS = 5000;

/** Reason for entering each state, for the decision log. */
const stateReasons: Readonly<Record<BulkheadState, string>> = {
  flowing: 'the queue is empty',
  queueing: 'the concurrency limit of this entry is reached',
  refusing: 'the queue is full or requests cannot meet their deadlines',
  closed: 'the service was removed',
};

/**
 * Creates the bulkhead of one service.
 *
 * @example
 * const permit = await bulkhead.admit(request, signal);
 * permit.release({outcome: 'ok', latencyMs: 12});
 */
export function createBulkhead(options: BulkheadOptions): Bulkhead {
  const {clock, random, decisions} = options;
  let config = options.config;
  const queue = createFairQueue<QueuedRequest>(options.weightOf);
  const share = createCapacityShare(config.concurrency);
  const retryBudget = createRetryBudget();
  const waitEstimator = createWaitEstimator(clock);
  const limit = createConcurrencyLimit(options.limitPolicy, {
    ceiling: config.concurrency,
    targetMs: config.targetMs,
  });
  const machine = createBulkheadMachine(recordStateChange);
  let inFlight = 0;
  let refusals = 0;
  let lastDecisionAt = -Infinity;
  share.setEntryCount(options.entryCount);
  limit.setCeiling(share.current());

  function recordStateChange(entered: BulkheadState) {
    const isRateLimited = clock.now() - lastDecisionAt < DECISION_INTERVAL_MS;
    if (entered === 'queueing' || (entered !== 'closed' && isRateLimited)) {
      return;
    }
    lastDecisionAt = clock.now();
    decisions.note('admission', config.name, entered, stateReasons[entered], {
      limit: currentLimit(),
      inFlight,
      waiting: queue.size,
      refusals,
    });
  }

  function currentLimit(urgency = DEFAULT_URGENCY): number {
    const ownLimit = Math.floor(limit.current());
    if (urgency < DEFAULT_URGENCY) {
      return Math.max(1, ownLimit + share.overdraft());
    }
    return Math.max(1, Math.floor(ownLimit * share.ordinaryFraction()));
  }

  /** The overdraft may admit a request while less urgent ones are queued. */
  function isMoreUrgentThanQueue(request: AdmissionRequest): boolean {
    return request.urgency < (queue.headUrgency() ?? Infinity);
  }

  function expectedWaitMs(request: AdmissionRequest): number {
    if (
      inFlight < currentLimit(request.urgency) &&
      isMoreUrgentThanQueue(request)
    ) {
      return 0;
    }
    const costAhead =
      queue.costOfMoreUrgent(request.urgency) +
      queue.costAheadAtSameUrgency(request) +
      request.cost / 2;
    return waitEstimator.waitMs(
      costAhead,
      currentLimit(request.urgency),
      request.urgency,
    );
  }

  function retryAfterMs(request: AdmissionRequest): number {
    const jitter = 1 + random.next() * RETRY_AFTER_JITTER;
    const waitMs = Math.max(MIN_RETRY_AFTER_MS, expectedWaitMs(request));
    return Math.ceil(Math.min(waitMs * jitter, MAX_RETRY_AFTER_MS));
  }

  function overloadedRejection(request: AdmissionRequest): ServingError {
    refusals += 1;
    machine.send('refuse');
    const message = `the concurrency limit of ${config.name} is reached and its queue is full`;
    return new ServingError('overloaded', message, {
      run: 'not-run',
      retryAfterMs: retryAfterMs(request),
    });
  }

  function deadlineRejection(request: AdmissionRequest): ServingError {
    refusals += 1;
    machine.send('refuse');
    const message = `${config.name} cannot respond before the deadline`;
    return new ServingError('deadline-exceeded', message, {
      run: 'not-run',
      retryAfterMs: retryAfterMs(request),
    });
  }

  /**
   * Ignores the estimate while nothing is in flight and the deadline has not
   * passed. Otherwise requests to a service that was slow once would be
   * rejected forever, since only admitted requests can show that it is fast
   * again.
   */
  function isDeadlineUnreachable(
    request: AdmissionRequest,
    waitMs: number,
  ): boolean {
    const remainingMs = request.deadline - clock.now();
    if (remainingMs <= 0) {
      return true;
    }
    return inFlight > 0 && waitMs + waitEstimator.serviceMs() > remainingMs;
  }

  function grantPermit(request: AdmissionRequest, requestedAt: number): Permit {
    const admittedAt = clock.now();
    inFlight += 1;
    waitEstimator.recordAdmission();
    retryBudget.deposit();
    let isReleased = false;
    return {
      waitedMs: admittedAt - requestedAt,
      release(result) {
        if (isReleased) {
          return;
        }
        isReleased = true;
        recordResult(request, admittedAt, result);
        inFlight -= 1;
        admitQueued();
      },
    };
  }

  function recordResult(
    request: AdmissionRequest,
    admittedAt: number,
    result: RequestResult,
  ) {
    const isLimitReached = inFlight >= currentLimit() || queue.size > 0;
    waitEstimator.recordRelease(admittedAt, request.cost);
    if (result.outcome === 'ok') {
      waitEstimator.recordLatency(result.latencyMs);
    }
    // Fast failures and cancellations give no evidence of spare capacity.
    const isSlow = result.latencyMs > config.targetMs;
    if (result.outcome === 'ok' || result.outcome === 'overloaded' || isSlow) {
      limit.observe({
        latencyMs: result.latencyMs,
        isOverload: result.outcome === 'overloaded',
        isLimitReached,
      });
    }
  }

  function admitQueued() {
    while (inFlight < currentLimit(queue.headUrgency())) {
      const queued = queue.dequeue();
      if (queued === undefined) {
        machine.send('clear');
        return;
      }
      queued.detach();
      if (isDeadlineUnreachable(queued.request, 0)) {
        queued.reject(deadlineRejection(queued.request));
      } else {
        queued.resolve(grantPermit(queued.request, queued.requestedAt));
      }
    }
  }

  function rejectQueued(queued: QueuedRequest, error: ServingError) {
    queue.remove(queued);
    queued.detach();
    queued.reject(error);
  }

  function rejectEvicted(queued: QueuedRequest | undefined) {
    queued?.detach();
    queued?.reject(overloadedRejection(queued.request));
  }

  /** Rejects the request as soon as its deadline can no longer be met. */
  function startDeadlineTimer(queued: QueuedRequest): Disposable {
    let timer = arm();
    function arm(): Disposable {
      const remainingMs =
        queued.request.deadline - clock.now() - waitEstimator.serviceMs();
      return clock.after(Math.max(MIN_RECHECK_MS, remainingMs), checkDeadline);
    }
    function checkDeadline() {
      const remainingMs = queued.request.deadline - clock.now();
      if (remainingMs > waitEstimator.serviceMs()) {
        timer = arm();
        return;
      }
      rejectQueued(queued, deadlineRejection(queued.request));
    }
    return {dispose: () => timer.dispose()};
  }

  function enqueue(
    request: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<Permit> {
    return new Promise((resolve, reject) => {
      const queued: QueuedRequest = {
        request,
        customer: request.customer,
        urgency: request.urgency,
        cost: request.cost,
        requestedAt: clock.now(),
        resolve,
        reject,
        detach() {
          timer.dispose();
          signal.removeEventListener('abort', onAbort);
        },
      };
      const timer = startDeadlineTimer(queued);
      const onAbort = () => rejectQueued(queued, cancelledError());
      signal.addEventListener('abort', onAbort, {once: true});
      queue.enqueue(queued);
      machine.send('wait');
    });
  }

  return {
    async admit(request, signal) {
      if (signal.aborted) {
        throw cancelledError();
      }
      if (machine.state() === 'closed') {
        throw serviceRemovedError(config.name);
      }
      waitEstimator.recordArrival(request.urgency, request.cost);
      if (isDeadlineUnreachable(request, expectedWaitMs(request))) {
        throw deadlineRejection(request);
      }
      if (
        inFlight < currentLimit(request.urgency) &&
        isMoreUrgentThanQueue(request)
      ) {
        return grantPermit(request, clock.now());
      }
      if (queue.size >= config.queue) {
        const evicted = queue.evictFor(request);
        if (evicted === undefined) {
          throw overloadedRejection(request);
        }
        rejectEvicted(evicted);
      }
      return enqueue(request, signal);
    },
    tryAcquireRetry: () => retryBudget.tryWithdraw(),
    configure(next) {
      config = next;
      share.setConcurrency(next.concurrency);
      limit.setCeiling(share.current());
      limit.setTarget(next.targetMs);
      while (queue.size > config.queue) {
        rejectEvicted(queue.evict());
      }
      admitQueued();
    },
    setEntryCount(count) {
      share.setEntryCount(count);
      limit.setCeiling(share.current());
      admitQueued();
    },
    setReportedSlots(slots, outstanding) {
      const isLimitReached = inFlight >= currentLimit();
      share.report(slots, outstanding, isLimitReached);
      limit.setCeiling(share.current());
      admitQueued();
    },
    loadFraction: () => Math.min(1, inFlight / currentLimit()),
    close() {
      machine.send('close');
      for (const queued of queue.items()) {
        rejectQueued(queued, serviceRemovedError(config.name));
      }
    },
    dump: () => ({
      service: config.name,
      state: machine.state(),
      limit: limit.current(),
      share: share.current(),
      overdraft: share.overdraft(),
      ordinaryFraction: share.ordinaryFraction(),
      inFlight,
      waiting: queue.size,
      queueLimit: config.queue,
      customers: queue.flowCount(),
      refusals,
      retriesLeft: retryBudget.balance(),
      serviceMs: waitEstimator.serviceMs(),
    }),
  };
}

function cancelledError(): ServingError {
  return new ServingError(
    'cancelled',
    'the caller cancelled the queued request',
    {
      run: 'not-run',
    },
  );
}

function serviceRemovedError(name: string): ServingError {
  return new ServingError('unknown-service', `the service ${name} was removed`);
}
