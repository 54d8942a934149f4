/**
 * Concurrency limit, queue and retry budget of one service, so that a service
 * that hangs, slows down, fails or is overloaded does not affect other
 * services.
 */
import type {
  Clock,
  DecisionLog,
  Random,
  ServingError,
} from '@skylarkfield/base';
import {createBulkheadMachine} from './bulkheadMachine.js';
import {createBulkheadStateLog} from './bulkheadStateLog.js';
import {createCapacityShare} from './capacityShare.js';
import {createConcurrencyLimit, type LimitPolicy} from './concurrencyLimit.js';
import type {
  AdmissionRequest,
  RequestResult,
  ServiceAdmissionConfig,
  Permit,
} from './contracts.js';
import {startDeadlineTimer} from './deadlineTimer.js';
import {createFairQueue} from './fairQueue.js';
import {
  abortedError,
  deadlineUnreachableError,
  overloadedError,
  serviceRemovedError,
} from './rejectionErrors.js';
import {jitteredRetryAfterMs} from './retryAfter.js';
import {createRetryBudget} from './retryBudget.js';
import {createWaitEstimator} from './waitEstimate.js';

export interface Bulkhead {
  admit(request: AdmissionRequest, signal: AbortSignal): Promise<Permit>;
  tryAcquireRetry(): boolean;
  /** Adds to the retry budget for a request that needs no permit. */
  depositRetry(): void;
  configure(config: ServiceAdmissionConfig): void;
  setEntryCount(count: number): void;
  recordReportedSlots(slots: number, outstanding: number | undefined): void;
  /** Returns the requests in flight relative to the limit, 0 to 1. */
  loadFraction(): number;
  /** Rejects all queued and later requests as `unknown-service`, `not-run`. */
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
  /** Monotonic milliseconds at which the request was queued. */
  readonly requestedAt: number;
  resolve(permit: Permit): void;
  reject(error: ServingError): void;
  /** Disposes the deadline timer and removes the abort listener. */
  detach(): void;
}

/**
 * RFC 9218 urgency of a request that states none; lower values are more urgent.
 */
const DEFAULT_URGENCY = 3;

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
  const capacityShare = createCapacityShare(config.concurrency);
  const retryBudget = createRetryBudget();
  const waitEstimator = createWaitEstimator(clock);
  const adaptiveLimit = createConcurrencyLimit(options.limitPolicy, {
    ceiling: config.concurrency,
    targetMs: config.targetMs,
  });
  const machine = createBulkheadMachine(
    createBulkheadStateLog({
      clock,
      decisions,
      service: config.name,
      currentFigures: () => ({
        limit: currentLimit(),
        inFlight,
        waiting: queue.size,
        refusals: rejectionCount,
      }),
    }),
  );
  let inFlight = 0;
  let rejectionCount = 0;
  capacityShare.setEntryCount(options.entryCount);
  adaptiveLimit.setCeiling(capacityShare.maxConcurrency());

  function currentLimit(urgency = DEFAULT_URGENCY): number {
    const baseLimit = Math.floor(adaptiveLimit.currentLimit());
    if (urgency < DEFAULT_URGENCY) {
      return Math.max(1, baseLimit + capacityShare.overdraft());
    }
    return Math.max(
      1,
      Math.floor(baseLimit * capacityShare.ordinaryFraction()),
    );
  }

  /**
   * Returns whether a request is more urgent than all queued requests; only
   * then may the request be admitted at once, possibly by the overdraft.
   */
  function isMoreUrgentThanQueue(request: AdmissionRequest): boolean {
    return request.urgency < (queue.headUrgency() ?? Infinity);
  }

  /** Returns the expected wait for admission; 0 if admitted at once. */
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
    return waitEstimator.estimateWaitMs(
      costAhead,
      currentLimit(request.urgency),
      request.urgency,
    );
  }

  function retryAfterMs(request: AdmissionRequest): number {
    return jitteredRetryAfterMs(expectedWaitMs(request), random);
  }

  /** Records a rejection for overload and returns its error. */
  function recordOverloadRejection(request: AdmissionRequest): ServingError {
    rejectionCount += 1;
    machine.send('rejected');
    return overloadedError(config.name, retryAfterMs(request));
  }

  /** Records a rejection for an unreachable deadline and returns its error. */
  function recordDeadlineRejection(request: AdmissionRequest): ServingError {
    rejectionCount += 1;
    machine.send('rejected');
    return deadlineUnreachableError(config.name, retryAfterMs(request));
  }

  /**
   * Returns whether the service cannot respond before the deadline. While no
   * request is in flight, the wait estimate is ignored until the deadline has
   * passed. If the estimate always applied, requests to a service that was slow
   * once would be rejected forever, since only admitted requests can show that
   * the service is fast again.
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
      adaptiveLimit.recordSample({
        latencyMs: result.latencyMs,
        isOverload: result.outcome === 'overloaded',
        isLimitReached,
      });
    }
  }

  function admitQueued() {
    while (inFlight < currentLimit(queue.headUrgency())) {
      const queuedRequest = queue.dequeue();
      if (queuedRequest === undefined) {
        machine.send('emptied');
        return;
      }
      queuedRequest.detach();
      if (isDeadlineUnreachable(queuedRequest.request, 0)) {
        queuedRequest.reject(recordDeadlineRejection(queuedRequest.request));
      } else {
        queuedRequest.resolve(
          grantPermit(queuedRequest.request, queuedRequest.requestedAt),
        );
      }
    }
  }

  function rejectQueued(queuedRequest: QueuedRequest, error: ServingError) {
    queue.remove(queuedRequest);
    queuedRequest.detach();
    queuedRequest.reject(error);
  }

  function rejectEvicted(evictedRequest: QueuedRequest | undefined) {
    evictedRequest?.detach();
    evictedRequest?.reject(recordOverloadRejection(evictedRequest.request));
  }

  function enqueue(
    request: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<Permit> {
    return new Promise((resolve, reject) => {
      const queuedRequest: QueuedRequest = {
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
      const timer = startDeadlineTimer({
        clock,
        deadline: request.deadline,
        serviceMs: () => waitEstimator.serviceMs(),
        onUnreachable: () =>
          rejectQueued(queuedRequest, recordDeadlineRejection(request)),
      });
      const onAbort = () => rejectQueued(queuedRequest, abortedError(signal));
      signal.addEventListener('abort', onAbort, {once: true});
      queue.enqueue(queuedRequest);
      machine.send('queued');
    });
  }

  return {
    async admit(request, signal) {
      if (signal.aborted) {
        throw abortedError(signal);
      }
      if (machine.state() === 'closed') {
        throw serviceRemovedError(config.name);
      }
      waitEstimator.recordArrival(request.urgency, request.cost);
      if (isDeadlineUnreachable(request, expectedWaitMs(request))) {
        throw recordDeadlineRejection(request);
      }
      if (
        inFlight < currentLimit(request.urgency) &&
        isMoreUrgentThanQueue(request)
      ) {
        return grantPermit(request, clock.now());
      }
      if (queue.size >= config.queue) {
        const evictedRequest = queue.evictForIncoming(request);
        if (evictedRequest === undefined) {
          throw recordOverloadRejection(request);
        }
        rejectEvicted(evictedRequest);
      }
      return enqueue(request, signal);
    },
    tryAcquireRetry: () => retryBudget.tryWithdraw(),
    depositRetry: () => retryBudget.deposit(),
    configure(newConfig) {
      config = newConfig;
      capacityShare.setConcurrency(newConfig.concurrency);
      adaptiveLimit.setCeiling(capacityShare.maxConcurrency());
      adaptiveLimit.setTarget(newConfig.targetMs);
      while (queue.size > config.queue) {
        rejectEvicted(queue.evictLowestPriority());
      }
      admitQueued();
    },
    setEntryCount(count) {
      capacityShare.setEntryCount(count);
      adaptiveLimit.setCeiling(capacityShare.maxConcurrency());
      admitQueued();
    },
    recordReportedSlots(slots, outstanding) {
      const isLimitReached = inFlight >= currentLimit();
      capacityShare.recordReport(slots, outstanding, isLimitReached);
      adaptiveLimit.setCeiling(capacityShare.maxConcurrency());
      admitQueued();
    },
    loadFraction: () => Math.min(1, inFlight / currentLimit()),
    close() {
      machine.send('close');
      for (const queuedRequest of queue.items()) {
        rejectQueued(queuedRequest, serviceRemovedError(config.name));
      }
    },
    dump: () => ({
      service: config.name,
      state: machine.state(),
      limit: adaptiveLimit.currentLimit(),
      share: capacityShare.maxConcurrency(),
      overdraft: capacityShare.overdraft(),
      ordinaryFraction: capacityShare.ordinaryFraction(),
      inFlight,
      waiting: queue.size,
      queueLimit: config.queue,
      customers: queue.flowCount(),
      refusals: rejectionCount,
      retriesLeft: retryBudget.balance(),
      serviceMs: waitEstimator.serviceMs(),
    }),
  };
}
