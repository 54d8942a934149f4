/**
 * Classifies the result of an attempt for the router, retries and the caller.
 */
import {ServingError, type ErrorKind} from '@skylarkfield/base';
import type {Choice, ReachState} from '@skylarkfield/routing';
import type {AttemptResult} from './attemptResult.js';

/** Outcome of an attempt as reported to the router. */
export type AttemptOutcome = Parameters<Choice['finish']>[0]['outcome'];

/**
 * Minimum Retry-After, in milliseconds: load reports of endpoints may be that
 * old, so an earlier retry would find the same reported load.
 */
const MIN_RETRY_MS = 300;

/** Lowest HTTP status that is a server error. */
const FIRST_SERVER_ERROR_STATUS = 500;

/** Errors of attempts that the caller or the stop of this process has ended. */
const ENDPOINT_INDEPENDENT_ERRORS: ReadonlySet<ErrorKind> = new Set([
  'cancelled',
  'leaving',
]);

/**
 * Whether an HTTP status is a server error.
 *
 * @example
 * isServerError(502); // true
 */
export function isServerError(status: number): boolean {
  return status >= FIRST_SERVER_ERROR_STATUS;
}

/**
 * Whether the endpoint may have run the request.
 *
 * @example
 * runs += mayHaveRun(result) ? 1 : 0;
 */
export function mayHaveRun(result: AttemptResult): boolean {
  if (result.type === 'declined' || result.type === 'withdrawn') {
    return false;
  }
  return result.type !== 'failed' || result.error.run === 'may-have-run';
}

/**
 * Whether the endpoint received the request, so that it may have run or declined
 * it.
 *
 * @example
 * arrivals += isReceived(result) ? 1 : 0;
 */
export function isReceived(result: AttemptResult): boolean {
  return result.type === 'declined' || mayHaveRun(result);
}

/**
 * Returns the result of an attempt whose connection failed. If the request was
 * not sent, the loss is not reported, since the request cannot have caused it.
 *
 * @example
 * settle(resultOfLostConnection(error));
 */
export function resultOfLostConnection(error: ServingError): AttemptResult {
  return error.run === 'not-run'
    ? {type: 'failed', error}
    : {type: 'failed', error, loss: 'closed'};
}

/**
 * Whether no process listens at the endpoint's address. Unlike a reset or a
 * timeout, this does not mean that the endpoint is overloaded.
 *
 * @example
 * if (isConnectionRefused(result.error)) { return tryAnotherEndpoint(); }
 */
export function isConnectionRefused({run, cause}: ServingError): boolean {
  return (
    run === 'not-run' &&
    cause instanceof Error &&
    'code' in cause &&
    cause.code === 'ECONNREFUSED'
  );
}

/**
 * Whether the endpoint was silent until another one responded.
 *
 * @example
 * const silentMs = wasLeft(result) ? stallTimeoutMs : undefined;
 */
export function wasLeft(result: AttemptResult): boolean {
  return (
    result.type === 'failed' &&
    result.loss === 'silent' &&
    result.error.kind === 'interrupted'
  );
}

/**
 * Returns a short description of the result for the log.
 *
 * @example
 * log.info({end: describeResult(result)}, 'retrying at another endpoint');
 */
export function describeResult(result: AttemptResult): string {
  if (result.type === 'failed') {
    return `${result.error.kind}: ${result.error.message}`;
  }
  return result.type;
}

/**
 * Returns the attempt's outcome to report to the router.
 *
 * @example
 * choice.finish({outcome: outcomeOf(result), latencyMs});
 */
export function outcomeOf(result: AttemptResult): AttemptOutcome {
  if (result.type === 'streamed') {
    return 'ok';
  }
  if (result.type === 'answered') {
    return isServerError(result.status) ? 'failed' : 'ok';
  }
  if (result.type === 'declined') {
    return 'overloaded';
  }
  if (result.type === 'withdrawn') {
    return 'cancelled';
  }
  if (ENDPOINT_INDEPENDENT_ERRORS.has(result.error.kind)) {
    return 'cancelled';
  }
  return result.error.run === 'not-run' ? 'unreachable' : 'failed';
}

/**
 * Returns the error unchanged if no attempt may have run, else an error marked
 * as `may-have-run`: a later rejection does not undo an earlier run. `runs` is
 * the number of endpoints that may have run the request.
 *
 * @example
 * reply.sendError(withRunState(error, progress.runCount));
 */
export function withRunState(error: ServingError, runs: number): ServingError {
  if (runs === 0 || error.run === 'may-have-run') {
    return error;
  }
  return new ServingError('endpoint-failed', error.message, {
    run: 'may-have-run',
    cause: error,
  });
}

/**
 * Returns the error for a request to a service without an endpoint that can be
 * tried.
 *
 * @example
 * throw unavailableError('chat', 'none is left to try');
 */
export function unavailableError(
  service: string,
  reason: string,
): ServingError {
  return new ServingError(
    'endpoint-unavailable',
    `no endpoint of ${service} is available: ${reason}`,
  );
}

/**
 * Retry-After while no entry is known to reach a service, in milliseconds: the
 * next probes are due by then.
 */
const LOST_RETRY_MS = 800;

/**
 * Returns the error for a service that no entry is known to reach.
 *
 * @example
 * throw lostServiceError('chat', reach.stateOf('chat'));
 */
export function lostServiceError(
  service: string,
  state: ReachState,
): ServingError {
  return new ServingError(
    'endpoint-unavailable',
    `no endpoint of ${service} responds: ${state}`,
    {run: 'not-run', retryAfterMs: LOST_RETRY_MS},
  );
}

/**
 * Returns the error for a request that all tried endpoints declined.
 *
 * @example
 * throw withRunState(allDeclinedError('chat', 3), 0);
 */
export function allDeclinedError(
  service: string,
  triedCount: number,
): ServingError {
  return new ServingError(
    'overloaded',
    `${triedCount} endpoints of ${service} declined the request`,
    {run: 'not-run'},
  );
}

/**
 * Returns the error for a request whose last attempt brought no response, after
 * `sendCount` sends.
 *
 * @example
 * reply.sendError(withRunState(errorOf('chat', 2, result), progress.runCount));
 */
export function errorOf(
  service: string,
  sendCount: number,
  result: Exclude<AttemptResult, {readonly type: 'answered' | 'streamed'}>,
): ServingError {
  if (result.type === 'failed') {
    return result.error;
  }
  return result.type === 'declined'
    ? allDeclinedError(service, sendCount)
    : unavailableError(service, 'the chosen one stopped accepting requests');
}

/**
 * Returns the error for a request whose first event would be delayed by more
 * than `longestMs` by the prompts queued at every endpoint. Retry-After is the
 * excess of the expected wait, `ms`, over `longestMs`.
 *
 * @example
 * throw waitTooLongError('chat', {ms: 2_400, longestMs: 900});
 */
export function waitTooLongError(
  service: string,
  {ms, longestMs}: {readonly ms: number; readonly longestMs: number},
): ServingError {
  return new ServingError(
    'overloaded',
    `${service} has an expected wait of ${Math.round(ms)} ms`,
    {run: 'not-run', retryAfterMs: Math.max(MIN_RETRY_MS, ms - longestMs)},
  );
}

/**
 * Returns the error for a quarantined request, which is no longer sent to any
 * endpoint since endpoints crashed while running it.
 *
 * @example
 * throw quarantinedError({crashes: 3, retryAfterMs: 60_000});
 */
export function quarantinedError({
  crashes,
  retryAfterMs,
}: {
  readonly crashes: number;
  readonly retryAfterMs: number;
}): ServingError {
  return new ServingError(
    'quarantined',
    `${crashes} endpoints crashed while running this request`,
    {run: 'not-run', retryAfterMs},
  );
}

/**
 * Returns the error for a request to endpoints that are all limited or resting;
 * `waitMs` is the time until an endpoint accepts requests again.
 *
 * @example
 * throw rateLimitedError('chat', 350);
 */
export function rateLimitedError(
  service: string,
  waitMs: number,
): ServingError {
  return new ServingError(
    'overloaded',
    `the endpoints of ${service} accept no requests for ${Math.round(waitMs)} ms`,
    {run: 'not-run', retryAfterMs: Math.max(MIN_RETRY_MS, waitMs)},
  );
}
