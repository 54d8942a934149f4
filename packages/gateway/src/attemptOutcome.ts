/** Classifies the end of an attempt for the router, retries and the caller. */
import {ServingError} from '@skylarkfield/base';
import type {Choice} from '@skylarkfield/routing';
import type {AttemptEnd} from './attempt.js';

/** Outcome of an attempt as reported to the router. */
export type AttemptOutcome = Parameters<Choice['finish']>[0]['outcome'];

/** Minimum Retry-After, in milliseconds; the load data is older than that. */
const MIN_RETRY_MS = 300;

/** Lowest status of the server error class. */
const FIRST_SERVER_ERROR_STATUS = 500;

/**
 * Whether a status is a server error.
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
 * runs += mayHaveRun(end) ? 1 : 0;
 */
export function mayHaveRun(end: AttemptEnd): boolean {
  if (end.type === 'declined') {
    return false;
  }
  return end.type !== 'failed' || end.error.run === 'may-have-run';
}

/**
 * Returns a short description for the log.
 *
 * @example
 * log.info({end: describeEnd(end)}, 'retrying at another endpoint');
 */
export function describeEnd(end: AttemptEnd): string {
  if (end.type === 'failed') {
    return `${end.error.kind}: ${end.error.message}`;
  }
  return end.type;
}

/**
 * Returns the outcome to report to the router.
 *
 * @example
 * choice.finish({outcome: outcomeOf(end), latencyMs});
 */
export function outcomeOf(end: AttemptEnd): AttemptOutcome {
  if (end.type === 'streamed') {
    return 'ok';
  }
  if (end.type === 'answered') {
    return isServerError(end.status) ? 'failed' : 'ok';
  }
  if (end.type === 'declined') {
    return 'overloaded';
  }
  if (end.error.kind === 'cancelled') {
    return 'cancelled';
  }
  return end.error.run === 'not-run' ? 'unreachable' : 'failed';
}

/**
 * Returns the error with the run state of all attempts: a later rejection does
 * not undo an earlier run. `runs` counts the endpoints that may have run the
 * request.
 *
 * @example
 * reply.sendError(withRunState(error, progress.runs));
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
 * Returns the error for a service of which no endpoint can be tried.
 *
 * @example
 * throw unavailable('chat', 'none is left to try');
 */
export function unavailable(service: string, why: string): ServingError {
  return new ServingError(
    'endpoint-unavailable',
    `no endpoint of ${service} is available: ${why}`,
  );
}

/**
 * Returns the error if all endpoints that were tried declined the request.
 *
 * @example
 * throw withRunState(allDeclined('chat', 3), 0);
 */
export function allDeclined(service: string, triedCount: number): ServingError {
  return new ServingError(
    'overloaded',
    `${triedCount} endpoints of ${service} declined the request`,
    {run: 'not-run'},
  );
}

/**
 * Returns the error if the prompts queued at every endpoint would delay the
 * first event for more than `longestMs`. Retry-After is the excess.
 *
 * @example
 * throw waitTooLong('chat', {ms: 2_400, longestMs: 900});
 */
export function waitTooLong(
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
 * Returns the error for a request that is no longer sent to any endpoint, since
 * endpoints crashed while running it.
 *
 * @example
 * throw quarantined({crashes: 3, retryAfterMs: 60_000});
 */
export function quarantined({
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
 * Returns the error if the remaining endpoints' rate limits are exhausted.
 *
 * @example
 * throw rateLimited('chat', 350);
 */
export function rateLimited(service: string, waitMs: number): ServingError {
  return new ServingError(
    'overloaded',
    `the endpoints of ${service} are at their rate limits for ${Math.round(waitMs)} ms`,
    {run: 'not-run', retryAfterMs: Math.max(MIN_RETRY_MS, waitMs)},
  );
}
