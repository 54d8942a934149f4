/** Error responses as RFC 9457 problem details. */
import type {ServerResponse} from 'node:http';
import {
  errorResponses,
  type ValidationFault,
  type ServingError,
} from '@skylarkfield/base';
import type {LookupResult} from '@skylarkfield/members';

/** Body of an error response. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly kind: string;
  readonly run: 'not-run' | 'may-have-run';
  readonly requestId: string;
  readonly retryAfterMs?: number;
  readonly faults?: readonly ValidationFault[];
  /** Other entries, if the responding entry is leaving or not ready. */
  readonly entries?: LookupResult;
}

/**
 * Converts an error to a problem; `entries` are entries that the caller can use
 * instead of this entry.
 *
 * @example
 * const problem = toProblem(error, requestId);
 */
export function toProblem(
  error: ServingError,
  requestId: string,
  entries?: LookupResult,
): Problem {
  const {status, title} = errorResponses[error.kind];
  return {
    type: `urn:skylarkfield:error:${error.kind}`,
    title,
    status,
    // An internal message may contain sensitive data and is only logged.
    detail: error.kind === 'internal' ? title : error.message,
    kind: error.kind,
    run: error.run,
    requestId,
    ...(error.retryAfterMs === undefined
      ? {}
      : {retryAfterMs: Math.ceil(error.retryAfterMs)}),
    ...(error.faults.length === 0 ? {} : {faults: error.faults}),
    ...(entries === undefined ? {} : {entries}),
  };
}

/**
 * Sends a problem as the response; does nothing if a response was started.
 *
 * @example
 * sendProblem(response, toProblem(error, requestId));
 */
export function sendProblem(response: ServerResponse, problem: Problem): void {
  if (response.headersSent || response.destroyed) {
    return;
  }
  const body = JSON.stringify(problem);
  response.statusCode = problem.status;
  response.setHeader('Content-Type', 'application/problem+json');
  response.setHeader('Content-Length', Buffer.byteLength(body));
  if (problem.retryAfterMs !== undefined) {
    // The header is in whole seconds; rounding down would cause early retries.
    const seconds = Math.max(1, Math.ceil(problem.retryAfterMs / 1000));
    response.setHeader('Retry-After', String(seconds));
  }
  response.end(body);
}
