/** Rules for another attempt after one has failed or stalled. */
import type {Clock, ErrorKind} from '@skylarkfield/base';
import type {AttemptFailure} from './attempt.js';
import type {EndpointPick} from './contracts.js';
import {probeLiveness} from './probe.js';
import type {RequestProgress} from './progress.js';

/** Kinds of errors that every endpoint would return for the same request. */
const NON_RETRYABLE_KINDS: ReadonlySet<ErrorKind> = new Set([
  'bad-request',
  'too-large',
  'forbidden',
  'unauthenticated',
]);

/** Returns whether another attempt is allowed, apart from the retry budget. */
export function isRetryable(
  {error}: AttemptFailure,
  {attemptCount}: RequestProgress,
  maxAttempts: number,
): boolean {
  return !NON_RETRYABLE_KINDS.has(error.kind) && attemptCount < maxAttempts;
}

/**
 * Returns whether another attempt takes a retry from the retry budget. Only
 * attempts that cost an engine work and delivered no token do, since such
 * attempts cause retry storms. All other failed attempts delivered tokens or
 * never reached an engine.
 */
export function isWastedWork({error, hasProgress}: AttemptFailure): boolean {
  return !hasProgress && error.kind !== 'endpoint-unavailable';
}

/** Excludes an endpoint after a failure, unless the stream can resume there. */
export async function excludeEndpoint(options: {
  readonly clock: Clock;
  readonly probeTimeoutMs: number;
  readonly progress: RequestProgress;
  readonly pick: EndpointPick;
  readonly failure: AttemptFailure;
}): Promise<void> {
  const {progress, pick} = options;
  if (!(await canResumeAtSameEndpoint(options))) {
    progress.excludedEndpoints.add(pick.endpoint);
  }
}

/**
 * Returns whether the stream can resume at the same endpoint, which it does at
 * most once: an engine that lost only the connection still has the tokens
 * cached.
 */
async function canResumeAtSameEndpoint({
  clock,
  probeTimeoutMs,
  progress,
  pick,
  failure: {error, hasProgress, isResponding},
}: Parameters<typeof excludeEndpoint>[0]): Promise<boolean> {
  if (
    error.kind !== 'interrupted' ||
    !hasProgress ||
    pick.leavingSignal.aborted ||
    progress.resumedEndpoints.has(pick.endpoint)
  ) {
    return false;
  }
  progress.resumedEndpoints.add(pick.endpoint);
  return isResponding ?? probeLiveness(clock, pick.engine, probeTimeoutMs);
}
