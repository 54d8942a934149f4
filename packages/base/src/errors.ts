/**
 * The closed set of error kinds, their HTTP responses, and the error class that
 * packages use to pass a kind to each other.
 */

/**
 * Whether the back end may have executed a failed request. `not-run` is a
 * guarantee: nothing of the request reached an endpoint.
 */
export type RunState = 'not-run' | 'may-have-run';

export type ErrorKind =
  | 'bad-request'
  | 'bad-settings'
  | 'bad-record'
  | 'unauthenticated'
  | 'forbidden'
  | 'not-found'
  | 'unknown-service'
  | 'too-large'
  | 'key-conflict'
  | 'in-progress'
  | 'overloaded'
  | 'deadline-exceeded'
  | 'leaving'
  | 'not-ready'
  | 'platform-unavailable'
  | 'version-conflict'
  | 'fenced'
  | 'endpoint-unavailable'
  | 'quarantined'
  | 'endpoint-failed'
  | 'interrupted'
  | 'outcome-unknown'
  | 'protocol-violation'
  | 'cancelled'
  | 'internal';

/** Response to a caller whose request failed with an error of one kind. */
export interface ErrorResponse {
  /** HTTP status code. */
  readonly status: number;
  /** Short, stable `title` of the RFC 9457 problem. */
  readonly title: string;
  /** Default run state of errors of the kind. */
  readonly run: RunState;
  /** Whether a retry of the same request can succeed. */
  readonly retryable: boolean;
}

/** Responses by error kind. */
export const errorResponses: Readonly<Record<ErrorKind, ErrorResponse>> = {
  'bad-request': errorResponse(
    400,
    'The request is malformed',
    'not-run',
    false,
  ),
  'bad-settings': errorResponse(
    500,
    'The settings are invalid',
    'not-run',
    false,
  ),
  'bad-record': errorResponse(422, 'The record is invalid', 'not-run', false),
  unauthenticated: errorResponse(
    401,
    'No valid key was given',
    'not-run',
    false,
  ),
  forbidden: errorResponse(
    403,
    'The key does not allow this',
    'not-run',
    false,
  ),
  'not-found': errorResponse(404, 'There is nothing here', 'not-run', false),
  'unknown-service': errorResponse(404, 'No such service', 'not-run', false),
  'too-large': errorResponse(413, 'The request is too large', 'not-run', false),
  'key-conflict': errorResponse(
    422,
    'The idempotency key was used with another request',
    'not-run',
    false,
  ),
  'in-progress': errorResponse(
    409,
    'A request with this idempotency key is still running',
    'may-have-run',
    true,
  ),
  overloaded: errorResponse(
    429,
    'The service is at its limit',
    'not-run',
    true,
  ),
  'deadline-exceeded': errorResponse(
    504,
    'The deadline passed',
    'not-run',
    true,
  ),
  leaving: errorResponse(503, 'This entry is leaving', 'not-run', true),
  'not-ready': errorResponse(503, 'This entry is not ready', 'not-run', true),
  'platform-unavailable': errorResponse(
    503,
    'The platform does not answer',
    'not-run',
    true,
  ),
  'version-conflict': errorResponse(
    409,
    'The object has changed',
    'not-run',
    true,
  ),
  fenced: errorResponse(409, 'A newer holder has taken over', 'not-run', true),
  'endpoint-unavailable': errorResponse(
    503,
    'No endpoint can take the request',
    'not-run',
    true,
  ),
  quarantined: errorResponse(
    503,
    'Endpoints crash under this request',
    'not-run',
    true,
  ),
  'endpoint-failed': errorResponse(
    502,
    'The endpoint failed',
    'may-have-run',
    true,
  ),
  interrupted: errorResponse(
    502,
    'The answer was cut off',
    'may-have-run',
    true,
  ),
  'outcome-unknown': errorResponse(
    502,
    'The outcome is not known',
    'may-have-run',
    false,
  ),
  'protocol-violation': errorResponse(
    502,
    'A peer broke the protocol',
    'may-have-run',
    false,
  ),
  cancelled: errorResponse(
    499,
    'The request was cancelled',
    'may-have-run',
    false,
  ),
  internal: errorResponse(500, 'Internal error', 'may-have-run', false),
};

/** One validation error and the path of the field that it concerns. */
export interface ValidationFault {
  /** Path of the field, like `listen.port`; empty for the whole value. */
  readonly path: string;
  /** Expected value of the field. */
  readonly expected: string;
}

/** Optional details of an error. */
export interface ErrorDetails {
  /** Overrides the run state of the error kind. */
  readonly run?: RunState;
  /** Suggested delay before a retry, in milliseconds. */
  readonly retryAfterMs?: number;
  /** Validation errors, one per field. */
  readonly faults?: readonly ValidationFault[];
  /** Underlying error. */
  readonly cause?: unknown;
}

/**
 * The error that packages throw to each other.
 *
 * @example
 * throw new ServingError('overloaded', 'the queue of booking is full', {retryAfterMs: 250});
 */
export class ServingError extends Error {
  readonly kind: ErrorKind;
  readonly run: RunState;
  readonly retryAfterMs: number | undefined;
  readonly faults: readonly ValidationFault[];

  constructor(kind: ErrorKind, message: string, details: ErrorDetails = {}) {
    super(message, {cause: details.cause});
    this.name = 'ServingError';
    this.kind = kind;
    this.run = details.run ?? errorResponses[kind].run;
    this.retryAfterMs = details.retryAfterMs;
    this.faults = details.faults ?? [];
  }
}

/**
 * Returns whether a caught value is a `ServingError` and, if a kind is given,
 * whether the error has this kind.
 *
 * @example
 * if (isServingError(error, 'version-conflict')) { return retry(); }
 */
export function isServingError(
  error: unknown,
  kind?: ErrorKind,
): error is ServingError {
  if (!(error instanceof ServingError)) {
    return false;
  }
  return kind === undefined || error.kind === kind;
}

/**
 * Converts any caught value to a `ServingError`; unknown errors become
 * `internal`.
 *
 * @example
 * catch (error) { reply(toServingError(error)); }
 */
export function toServingError(error: unknown): ServingError {
  if (error instanceof ServingError) {
    return error;
  }
  const message = error instanceof Error ? error.message : String(error);
  return new ServingError('internal', message, {cause: error});
}

function errorResponse(
  status: number,
  title: string,
  run: RunState,
  retryable: boolean,
): ErrorResponse {
  return {status, title, run, retryable};
}

/**
 * Returns the error with which a signal was aborted; `cancelled` with run state
 * `not-run` by default.
 *
 * @example
 * throw errorOfAbort(signal, 'the caller cancelled the queued request');
 */
export function errorOfAbort(
  {reason}: AbortSignal,
  message: string,
): ServingError {
  return reason instanceof ServingError
    ? reason
    : new ServingError('cancelled', message, {run: 'not-run'});
}
