/** Whether a request may be sent to another endpoint, and how long one may be silent. */
import type {Admission} from '@skylarkfield/admission';
import type {Clock} from '@skylarkfield/base';
import {isRepeatable, type Route} from '@skylarkfield/traffic';
import type {Continuation} from './streamMove.js';

/** What of a call the rules look at. */
export interface RuledCall {
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
  sentAt: number;
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
export interface SendRules {
  /** Whether a request that may have run may run at another endpoint. */
  mayRunAgain(call: RuledCall, progress: Progress): boolean;
  /**
   * Whether a request that has certainly not run at one endpoint may be sent on.
   * It may have run at another one before: a stream that was moved, and whose
   * new endpoint declines it.
   */
  maySendOn(call: RuledCall, progress: Progress): boolean;
  /** Silence after which an endpoint is given up, in milliseconds; undefined to wait for it alone. */
  silenceMs(call: RuledCall, progress: Progress): number | undefined;
}

/** Sends of one request that endpoints declined or could not be reached for; more say that the service has no room. */
const MOST_SENDS = 3;

/** An idempotent request waits this part of its time for one endpoint while another may still be tried. */
const SILENCE_PART = 0.4;

/**
 * A resumable stream that pauses for this multiple of its declared longest
 * pause goes on elsewhere: by then the answer is late, and callers leave after
 * eight pauses.
 */
const PAUSES_TO_RESUME = 3;

/**
 * A request that was not sent yet.
 *
 * @example
 * const progress = beginProgress(clock.now());
 */
export function beginProgress(now: number): Progress {
  return {
    endpoints: [],
    excluded: new Set(),
    tokensAhead: undefined,
    runs: 0,
    sentAt: now,
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
export function createSendRules(options: {
  readonly admission: Pick<Admission, 'tryRetry'>;
  readonly clock: Clock;
}): SendRules {
  const {admission, clock} = options;

  function mayRunAgain(call: RuledCall, progress: Progress): boolean {
    return (
      isRepeatable(call.route) &&
      progress.runs < call.route.attempts &&
      progress.endpoints.length < MOST_SENDS &&
      !call.signal.aborted &&
      admission.tryRetry(call.service)
    );
  }

  function maySendOn(call: RuledCall, progress: Progress): boolean {
    if (progress.runs > 0) {
      return mayRunAgain(call, progress);
    }
    return (
      progress.endpoints.length < MOST_SENDS &&
      !call.signal.aborted &&
      admission.tryRetry(call.service)
    );
  }

  function silenceMs(call: RuledCall, progress: Progress) {
    if (!isRepeatable(call.route) || progress.runs + 1 >= call.route.attempts) {
      return undefined;
    }
    if (call.route.kind === 'streaming') {
      return (
        Math.max(call.route.goalMs, call.route.longestPauseMs) *
        PAUSES_TO_RESUME
      );
    }
    return (call.deadlineAt - clock.now()) * SILENCE_PART;
  }

  return {mayRunAgain, maySendOn, silenceMs};
}
