/** What the end of an attempt says of its endpoint, of the request's run and to the caller. */
import {ServingError} from '@skylarkfield/base';
import type {Choice} from '@skylarkfield/routing';
import type {AttemptEnd} from './attempt.js';

/** How an endpoint did with an attempt. */
export type AttemptOutcome = Parameters<Choice['finish']>[0]['outcome'];

/** Nobody is told to come back sooner, in milliseconds: what is known of the load is older. */
const MIN_RETRY_MS = 300;

/** Statuses by which a service says that it failed. */
const FIRST_SERVER_ERROR = 500;

/**
 * Whether a status says that the server failed.
 *
 * @example
 * isServerFault(502); // true
 */
export function isServerError(status: number): boolean {
  return status >= FIRST_SERVER_ERROR;
}

/**
 * Whether an endpoint may have worked on the request.
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
 * The end in a few words, for the log.
 *
 * @example
 * log.info({end: describeEnd(end)}, 'another endpoint');
 */
export function describeEnd(end: AttemptEnd): string {
  if (end.type === 'failed') {
    return `${end.error.kind}: ${end.error.message}`;
  }
  return end.type;
}

/**
 * How the endpoint did, as the router takes it.
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
 * The error with the run state of all attempts: what ran before is not undone by
 * a later refusal. `runs` is how many endpoints may have run the request.
 *
 * @example
 * reply.refuse(withRuns(error, progress.runs));
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
 * No endpoint of a service could be asked.
 *
 * @example
 * throw unavailable('chat', 'none is left');
 */
export function unavailable(service: string, why: string): ServingError {
  return new ServingError(
    'endpoint-unavailable',
    `no endpoint of ${service}: ${why}`,
  );
}

/**
 * All endpoints that were asked have said that they have no room.
 *
 * @example
 * throw withRuns(noRoom('chat', 3), 0);
 */
export function allDeclined(service: string, asked: number): ServingError {
  return new ServingError(
    'overloaded',
    `${asked} endpoints of ${service} have no room`,
    {run: 'not-run'},
  );
}

/**
 * Every endpoint of a service has so much to read that a new request's first
 * event would come far too late. It may come back when that has been read.
 *
 * @example
 * throw noPlaceInTime('chat', {ms: 2_400, longestMs: 900});
 */
export function waitTooLong(
  service: string,
  {ms, longestMs}: {readonly ms: number; readonly longestMs: number},
): ServingError {
  return new ServingError(
    'overloaded',
    `${service} has ${Math.round(ms)} ms of prompts to read first`,
    {run: 'not-run', retryAfterMs: Math.max(MIN_RETRY_MS, ms - longestMs)},
  );
}

/**
 * Endpoints crashed under the request, so it is not sent to any other.
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
    `${crashes} endpoints crashed under this request`,
    {run: 'not-run', retryAfterMs},
  );
}

/**
 * The endpoints of a service that are left have named limits, and those are used up.
 *
 * @example
 * throw limited('chat', 350);
 */
export function rateLimited(service: string, waitMs: number): ServingError {
  return new ServingError(
    'overloaded',
    `the endpoints of ${service} take no more requests for ${Math.round(waitMs)} ms`,
    {run: 'not-run', retryAfterMs: Math.max(MIN_RETRY_MS, waitMs)},
  );
}
