/**
 * The closed list of error kinds, the table from kind to answer, and the one
 * error class that carries a kind across package borders.
 */

/**
 * Whether the back end may have executed the request when it is refused.
 * `not-run` is a promise: nothing of the request reached an endpoint.
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

/** How a caller is answered when a request ends with an error of some kind. */
export interface ErrorAnswer {
  /** HTTP status code. */
  readonly status: number;
  /** Short, stable summary for the `title` of an RFC 9457 problem. */
  readonly title: string;
  /** Run state when the error itself does not say otherwise. */
  readonly run: RunState;
  /** Whether trying the same request again can help. */
  readonly retryable: boolean;
}

/** The table from error kind to answer. */
export const errorAnswers: Readonly<Record<ErrorKind, ErrorAnswer>> = {
  'bad-request': answer(400, 'The request is malformed', 'not-run', false),
  'bad-settings': answer(500, 'The settings are invalid', 'not-run', false),
  'bad-record': answer(422, 'The record is invalid', 'not-run', false),
  unauthenticated: answer(401, 'No valid key was given', 'not-run', false),
  forbidden: answer(403, 'The key does not allow this', 'not-run', false),
  'not-found': answer(404, 'There is nothing here', 'not-run', false),
  'unknown-service': answer(404, 'No such service', 'not-run', false),
  'too-large': answer(413, 'The request is too large', 'not-run', false),
  'key-conflict': answer(
    422,
    'The idempotency key was used with another request',
    'not-run',
    false,
  ),
  'in-progress': answer(
    409,
    'A request with this idempotency key is still running',
    'may-have-run',
    true,
  ),
  overloaded: answer(429, 'The service is at its limit', 'not-run', true),
  'deadline-exceeded': answer(504, 'The deadline passed', 'not-run', true),
  leaving: answer(503, 'This entry is leaving', 'not-run', true),
  'not-ready': answer(503, 'This entry is not ready', 'not-run', true),
  'platform-unavailable': answer(
    503,
    'The platform does not answer',
    'not-run',
    true,
  ),
  'version-conflict': answer(409, 'The object has changed', 'not-run', true),
  fenced: answer(409, 'A newer holder has taken over', 'not-run', true),
  'endpoint-unavailable': answer(
    503,
    'No endpoint can take the request',
    'not-run',
    true,
  ),
  quarantined: answer(
    503,
    'Endpoints crash under this request',
    'not-run',
    true,
  ),
  'endpoint-failed': answer(502, 'The endpoint failed', 'may-have-run', true),
  interrupted: answer(502, 'The answer was cut off', 'may-have-run', true),
  'outcome-unknown': answer(
    502,
    'The outcome is not known',
    'may-have-run',
    false,
  ),
  'protocol-violation': answer(
    502,
    'A peer broke the protocol',
    'may-have-run',
    false,
  ),
  cancelled: answer(499, 'The request was cancelled', 'may-have-run', false),
  internal: answer(500, 'Internal error', 'may-have-run', false),
};

/** One fault in a value that was checked, with the path to it. */
export interface Fault {
  /** Path of the field, like `listen.port`; empty for the whole value. */
  readonly path: string;
  /** What was expected there. */
  readonly expected: string;
}

/** What an error carries besides its kind and message. */
export interface ErrorDetails {
  /** Overrides the table's run state. */
  readonly run?: RunState;
  /** When trying again makes sense, in milliseconds from now. */
  readonly retryAfterMs?: number;
  /** Faults of a checked value, one per field. */
  readonly faults?: readonly Fault[];
  /** The error this one was made from. */
  readonly cause?: unknown;
}

/**
 * The error that packages throw to each other.
 *
 * @example
 * throw new ServingError('overloaded', 'queue of booking is full', {retryAfterMs: 250});
 */
export class ServingError extends Error {
  readonly kind: ErrorKind;
  readonly run: RunState;
  readonly retryAfterMs: number | undefined;
  readonly faults: readonly Fault[];

  constructor(kind: ErrorKind, message: string, details: ErrorDetails = {}) {
    super(message, {cause: details.cause});
    this.name = 'ServingError';
    this.kind = kind;
    this.run = details.run ?? errorAnswers[kind].run;
    this.retryAfterMs = details.retryAfterMs;
    this.faults = details.faults ?? [];
  }
}

/**
 * Tells whether a caught value is a `ServingError`, of the given kind if one is given.
 *
 * @example
 * if (isServingError(error, 'version-conflict')) { return readAgain(); }
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
 * Turns any caught value into a `ServingError`; unknown ones become `internal`.
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

function answer(
  status: number,
  title: string,
  run: RunState,
  retryable: boolean,
): ErrorAnswer {
  return {status, title, run, retryable};
}
