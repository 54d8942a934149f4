/** Rules for retries at other endpoints and for idle timeouts of attempts. */
import type {AdmissionController} from '@skylarkfield/admission';
import type {Clock} from '@skylarkfield/base';
import {isRepeatable, type Route} from '@skylarkfield/traffic';
import type {Continuation} from './streamMigration.js';

/** The properties of a call that the rules depend on. */
export interface RetryableCall {
  readonly route: Pick<
    Route,
    'kind' | 'attempts' | 'goalMs' | 'longestPauseMs' | 'isResumable'
  >;
  readonly service: string;
  /** Monotonic milliseconds. */
  readonly deadlineAt: number;
  readonly signal: AbortSignal;
}

/** State of one request over its attempts. */
export interface Progress {
  readonly endpoints: string[];
  readonly excluded: Set<string>;
  /** Prompt tokens queued at the first endpoint before the first send. */
  tokensAhead: number | undefined;
  /** Number of endpoints that may have run the request. */
  runs: number;
  startedAt: number;
  /** Monotonic milliseconds of the first send; undefined before that. */
  firstSendAt: number | undefined;
  firstMs: number | undefined;
  /** Fingerprint, once an endpoint closed its connection during the request. */
  fingerprint: string | undefined;
  /** Whether the request is already counted in the customer's usage. */
  isCounted: boolean;
  /** Target of the request's migration off a draining endpoint. */
  continuation: Continuation | undefined;
}

/** Retry and timeout decisions of one entry. */
export interface RetryRules {
  /** Whether a request that may have run may run at another endpoint. */
  mayRerun(call: RetryableCall, progress: Progress): boolean;
  /**
   * Whether a request that has certainly not run at this endpoint may be sent
   * to another. A migrated stream that its new endpoint declines has still run
   * at its first endpoint.
   */
  mayResend(call: RetryableCall, progress: Progress): boolean;
  /** Returns the idle timeout of the next attempt, in milliseconds, if any. */
  idleTimeoutMs(call: RetryableCall, progress: Progress): number | undefined;
}

/**
 * Maximum sends of a request to endpoints that decline it or cannot be reached;
 * more failures mean that the service has no capacity.
 */
const MAX_SENDS = 3;

/**
 * Fraction of its remaining time that an idempotent request waits for one
 * endpoint while a retry is left.
 */
const IDLE_TIMEOUT_FRACTION = 0.4;

/**
 * Idle timeout of a resumable stream, as a multiple of its route's latency
 * target or longest pause, whichever is longer. By then the response is late;
 * callers disconnect after eight such pauses.
 */
const RESUME_PAUSE_MULTIPLE = 3;

/**
 * Returns the state of a request before its first attempt.
 *
 * @example
 * const progress = createProgress(clock.now());
 */
export function createProgress(now: number): Progress {
  return {
    endpoints: [],
    excluded: new Set(),
    tokensAhead: undefined,
    runs: 0,
    startedAt: now,
    firstSendAt: undefined,
    firstMs: undefined,
    fingerprint: undefined,
    isCounted: false,
    continuation: undefined,
  };
}

/**
 * Creates the rules of one entry.
 *
 * @example
 * if (rules.mayResend(call, progress)) { return attempt(nextTarget(call,
 *   progress)); }
 */
export function createRetryRules(options: {
  readonly admission: Pick<AdmissionController, 'tryAcquireRetry'>;
  readonly clock: Clock;
}): RetryRules {
  const {admission, clock} = options;

  function mayRerun(call: RetryableCall, progress: Progress): boolean {
    return (
      isRepeatable(call.route) &&
      progress.runs < call.route.attempts &&
      progress.endpoints.length < MAX_SENDS &&
      !call.signal.aborted &&
      admission.tryAcquireRetry(call.service)
    );
  }

  function mayResend(call: RetryableCall, progress: Progress): boolean {
    if (progress.runs > 0) {
      return mayRerun(call, progress);
    }
    return (
      progress.endpoints.length < MAX_SENDS &&
      !call.signal.aborted &&
      admission.tryAcquireRetry(call.service)
    );
  }

  function idleTimeoutMs(call: RetryableCall, progress: Progress) {
    if (!isRepeatable(call.route) || progress.runs + 1 >= call.route.attempts) {
      return undefined;
    }
    if (call.route.kind === 'streaming') {
      return (
        Math.max(call.route.goalMs, call.route.longestPauseMs) *
        RESUME_PAUSE_MULTIPLE
      );
    }
    return (call.deadlineAt - clock.now()) * IDLE_TIMEOUT_FRACTION;
  }

  return {mayRerun, mayResend, idleTimeoutMs};
}
