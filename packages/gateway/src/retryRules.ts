/** Whether a request may be sent to another endpoint, and how long one may be silent. */
import type {Admission} from '@skylarkfield/admission';
import type {Clock} from '@skylarkfield/base';
import {isRepeatable, type Route} from '@skylarkfield/traffic';
import type {Continuation} from './streamMigration.js';

/** What of a call the rules look at. */
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

/** What one request has been through. */
export interface Progress {
  readonly endpoints: string[];
  readonly excluded: Set<string>;
  /** Prompt tokens to be read before its own where it was sent first; undefined before. */
  tokensAhead: number | undefined;
  /** Endpoints that may have run it. */
  runs: number;
  startedAt: number;
  /** Monotonic milliseconds of the first send to an endpoint; undefined before. */
  firstSendAt: number | undefined;
  firstMs: number | undefined;
  /** The request's fingerprint, once an endpoint has closed its connection on it. */
  fingerprint: string | undefined;
  /** It stands in the usage of its customer. */
  isCounted: boolean;
  /** Where it goes on after it was moved off a leaving endpoint. */
  continuation: Continuation | undefined;
}

/** What decides over one request's sends. */
export interface RetryRules {
  /** Whether a request that may have run may run at another endpoint. */
  mayRerun(call: RetryableCall, progress: Progress): boolean;
  /**
   * Whether a request that has certainly not run at one endpoint may be sent on.
   * It may have run at another one before: a stream that was moved, and whose
   * new endpoint declines it.
   */
  mayResend(call: RetryableCall, progress: Progress): boolean;
  /** Silence after which an endpoint is given up, in milliseconds; undefined to wait for it alone. */
  idleTimeoutMs(call: RetryableCall, progress: Progress): number | undefined;
}

/** Sends of one request that endpoints declined or could not be reached for; more say that the service has no room. */
const MAX_SENDS = 3;

/** An idempotent request waits this part of its time for one endpoint while another may still be tried. */
const IDLE_TIMEOUT_FRACTION = 0.4;

/**
 * A resumable stream that pauses for this multiple of its declared longest
 * pause goes on elsewhere: by then the answer is late, and callers leave after
 * eight pauses.
 */
const RESUME_PAUSE_MULTIPLE = 3;

/**
 * A request that was not sent yet.
 *
 * @example
 * const progress = beginProgress(clock.now());
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
 * Makes the rules of one entry.
 *
 * @example
 * if (rules.maySendOn(call, progress)) { return attempt(next); }
 */
export function createRetryRules(options: {
  readonly admission: Pick<Admission, 'tryRetry'>;
  readonly clock: Clock;
}): RetryRules {
  const {admission, clock} = options;

  function mayRerun(call: RetryableCall, progress: Progress): boolean {
    return (
      isRepeatable(call.route) &&
      progress.runs < call.route.attempts &&
      progress.endpoints.length < MAX_SENDS &&
      !call.signal.aborted &&
      admission.tryRetry(call.service)
    );
  }

  function mayResend(call: RetryableCall, progress: Progress): boolean {
    if (progress.runs > 0) {
      return mayRerun(call, progress);
    }
    return (
      progress.endpoints.length < MAX_SENDS &&
      !call.signal.aborted &&
      admission.tryRetry(call.service)
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
