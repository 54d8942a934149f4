/** Rules for retries at other endpoints and for stall timeouts of attempts. */
import type {AdmissionController} from '@skylarkfield/admission';
import type {Clock} from '@skylarkfield/base';
import {isRepeatable, type Route} from '@skylarkfield/traffic';
import type {HandoverState} from './forwardedCall.js';
import type {Continuation} from './streamMigration.js';

/** The properties of a call that the retry rules depend on. */
export interface RetryableCall {
  readonly route: Pick<
    Route,
    'kind' | 'attempts' | 'goalMs' | 'longestPauseMs' | 'isResumable'
  >;
  readonly service: string;
  /** Deadline of the response, in monotonic milliseconds. */
  readonly deadlineAt: number;
  readonly signal: AbortSignal;
}

/** Why a request is not sent to a further endpoint. */
export type RetryDenial =
  | 'not-repeatable'
  | 'attempts-used'
  | 'sends-used'
  | 'ended'
  | 'no-retry-budget';

/** Progress of one request over all its attempts. */
export interface Progress {
  /** Ids of the endpoints that the request was sent to, in order. */
  readonly endpoints: string[];
  /** Router key of the endpoint that the request was last sent to. */
  lastEndpoint: string | undefined;
  /** Router keys of the endpoints that must not be chosen again. */
  readonly excludedEndpoints: Set<string>;
  /** Ids of the entries that the request was handed over to, in order. */
  readonly peers: string[];
  /** Whether the last attempt could not open a connection to its endpoint. */
  hasFailedToConnect: boolean;
  /**
   * Whether an endpoint failed or declined the request; not if it only stood
   * still.
   */
  hasFailedAttempt: boolean;
  /** Whether the request waited for an endpoint that stood still. */
  hasWaitedForStill: boolean;
  /**
   * Router keys of the endpoints that stood still until another one responded.
   */
  readonly stillEndpoints: string[];
  /** Prompt tokens queued at the first endpoint before the first send. */
  tokensAhead: number | undefined;
  /** Number of endpoints that may have run the request. */
  runCount: number;
  /**
   * Number of endpoints that have run or declined the request. An endpoint that
   * goes on with a migrated stream does not count: it is part of the same run.
   */
  receivedCount: number;
  /** Number of retries that the retry budget has granted. */
  grantedRetries: number;
  /** Monotonic milliseconds of the start of forwarding. */
  startedAt: number;
  /** Monotonic milliseconds of the first send; undefined before that send. */
  firstSendAt: number | undefined;
  /** Milliseconds from `startedAt` to the first byte or event of a response. */
  firstByteMs: number | undefined;
  /** Part of `firstByteMs` by which a slow host delayed the response. */
  hostDelayMs: number;
  /** Crash fingerprint, set once an endpoint has closed its connection. */
  fingerprint: string | undefined;
  /** Whether the request has been counted in the customer's usage. */
  isCounted: boolean;
  /** Why the request was not sent on when it was last considered. */
  retryDenial: RetryDenial | undefined;
  /** Target of the request's migration off a draining endpoint. */
  continuation: Continuation | undefined;
}

/** Retry and timeout decisions of one entry. */
export interface RetryRules {
  /**
   * Whether the request may be run by a further endpoint, as far as its route
   * and all its runs are concerned, whatever its last attempt has told.
   */
  canRun(call: RetryableCall, progress: Progress): boolean;
  /**
   * Whether the request may be sent to a further endpoint. Consumes one retry of
   * the service's retry budget, unless an earlier one has not been used.
   */
  maySend(call: RetryableCall, progress: Progress): boolean;
  /**
   * Whether the request has run and every retry that it was granted has brought
   * it to an endpoint, so that a further run needs another one.
   */
  needsRetry(progress: Progress): boolean;
  /** Whether the request may be sent to a further endpoint at all. */
  hasSendsLeft(progress: Pick<Progress, 'endpoints'>): boolean;
  /**
   * Whether a request may be sent to a further endpoint while an attempt of it
   * runs, as far as its attempts and sends are concerned.
   */
  canHedge(call: RetryableCall, progress: Progress): boolean;
  /**
   * Whether a request may be sent to a further endpoint while an attempt of it
   * runs. Consumes one retry of the service's retry budget if so.
   */
  mayHedge(call: RetryableCall, progress: Progress): boolean;
  /**
   * Returns the time without data after which the next attempt has stalled, in
   * milliseconds; undefined if the attempt may use all the time until the
   * deadline.
   */
  stallTimeoutMs(call: RetryableCall, progress: Progress): number | undefined;
}

/**
 * Maximum sends of a request, counting endpoints that decline the request or
 * cannot be reached; three such failures mean that the service has no capacity.
 */
const MAX_SENDS = 3;

/**
 * Stall timeout of an idempotent request while a retry is left, as a fraction of
 * the time until the request's deadline.
 */
const STALL_TIMEOUT_FRACTION = 0.4;

/**
 * Stall timeout of a resumable stream, as a multiple of its route's latency
 * target or longest pause, whichever is longer. After that time the response is
 * late anyway; callers disconnect after eight such pauses.
 */
const RESUME_STALL_TIMEOUT_MULTIPLE = 3;

/**
 * Returns the progress of a request before its first attempt at this entry.
 *
 * @example
 * const progress = createProgress(clock.now());
 */
export function createProgress(
  now: number,
  handover?: HandoverState,
): Progress {
  return {
    endpoints: [],
    lastEndpoint: undefined,
    excludedEndpoints: new Set(handover?.excludedEndpoints),
    peers: [],
    hasFailedToConnect: false,
    hasFailedAttempt: false,
    hasWaitedForStill: false,
    stillEndpoints: [],
    tokensAhead: undefined,
    runCount: 0,
    receivedCount: 0,
    grantedRetries: 0,
    startedAt: now,
    firstSendAt: undefined,
    firstByteMs: undefined,
    hostDelayMs: 0,
    fingerprint: undefined,
    isCounted: handover?.isCounted ?? false,
    retryDenial: undefined,
    continuation: undefined,
  };
}

/**
 * Whether the request was granted a retry that has not brought it to a further
 * endpoint yet, since that one could not be reached.
 */
function hasUnusedRetry({grantedRetries, receivedCount}: Progress): boolean {
  return grantedRetries >= Math.max(1, receivedCount);
}

/**
 * Creates the retry rules of one entry.
 *
 * @example
 * if (rules.maySend(call, progress)) { return tryTarget(chooseTarget(call,
 *   progress)); }
 */
export function createRetryRules(options: {
  readonly admission: Pick<AdmissionController, 'tryAcquireRetry'>;
  readonly clock: Clock;
}): RetryRules {
  const {admission, clock} = options;

  function hasSendsLeft({endpoints}: Pick<Progress, 'endpoints'>): boolean {
    return endpoints.length < MAX_SENDS;
  }

  /** Returns why the request may not be sent again; consumes a retry if it may. */
  function denySend(
    call: RetryableCall,
    progress: Progress,
  ): RetryDenial | undefined {
    if (!hasSendsLeft(progress)) {
      return 'sends-used';
    }
    if (call.signal.aborted) {
      return 'ended';
    }
    return hasUnusedRetry(progress) || tryAcquireRetry(call, progress)
      ? undefined
      : 'no-retry-budget';
  }

  function tryAcquireRetry(
    {service}: RetryableCall,
    progress: Progress,
  ): boolean {
    const isGranted = admission.tryAcquireRetry(service);
    progress.grantedRetries += isGranted ? 1 : 0;
    return isGranted;
  }

  function denyRun(
    {route}: RetryableCall,
    {runCount}: Progress,
  ): RetryDenial | undefined {
    if (runCount === 0) {
      return undefined;
    }
    if (!isRepeatable(route)) {
      return 'not-repeatable';
    }
    return runCount < route.attempts ? undefined : 'attempts-used';
  }

  function canRun(call: RetryableCall, progress: Progress): boolean {
    progress.retryDenial = denyRun(call, progress);
    return progress.retryDenial === undefined;
  }

  function maySend(call: RetryableCall, progress: Progress): boolean {
    progress.retryDenial = denyRun(call, progress) ?? denySend(call, progress);
    return progress.retryDenial === undefined;
  }

  function canHedge(call: RetryableCall, progress: Progress): boolean {
    return (
      isRepeatable(call.route) &&
      progress.runCount + 1 < call.route.attempts &&
      hasSendsLeft(progress) &&
      !call.signal.aborted
    );
  }

  function mayHedge(call: RetryableCall, progress: Progress): boolean {
    return canHedge(call, progress) && tryAcquireRetry(call, progress);
  }

  function stallTimeoutMs(call: RetryableCall, progress: Progress) {
    if (
      !isRepeatable(call.route) ||
      progress.runCount + 1 >= call.route.attempts
    ) {
      return undefined;
    }
    if (call.route.kind === 'streaming') {
      return (
        Math.max(call.route.goalMs, call.route.longestPauseMs) *
        RESUME_STALL_TIMEOUT_MULTIPLE
      );
    }
    return (call.deadlineAt - clock.now()) * STALL_TIMEOUT_FRACTION;
  }

  return {
    canRun,
    maySend,
    needsRetry: progress => progress.runCount > 0 && !hasUnusedRetry(progress),
    canHedge,
    mayHedge,
    hasSendsLeft,
    stallTimeoutMs,
  };
}
