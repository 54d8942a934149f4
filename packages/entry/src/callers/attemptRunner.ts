/** Calls to plain services: endpoint choice, retries and version fallback. */
import {ServingError, toServingError, type Clock} from '@skylarkfield/base';
import type {
  AttemptResult,
  ServiceCall,
  ServiceResponse,
} from '@skylarkfield/endpoints';
import {availableVersions} from '../availableVersions.js';
import type {ServingContext} from '../servingContext.js';
import {createDeadlineSignal} from './deadlineSignal.js';
import {isVersionFault} from './requestMetrics.js';
import {noEndpointError} from './noEndpointError.js';

/** A call with its routing parameters. */
export interface RoutedCall {
  readonly service: string;
  readonly version: string;
  /** Used if no endpoint of `version` accepts; equals it without a move. */
  readonly incumbent: string;
  readonly route: string;
  readonly call: ServiceCall;
  /** Monotonic milliseconds. */
  readonly deadline: number;
}

export interface AttemptRunner {
  /** Retries until a response, an exhausted retry budget or the deadline. */
  runIdempotent(
    call: RoutedCall,
    signal: AbortSignal,
  ): Promise<ServiceResponse>;
  /**
   * Retries only while no attempt can have run. `begin` is called right before
   * a call is sent and returns false to cancel the call.
   */
  runAtMostOnce(
    call: RoutedCall,
    signal: AbortSignal,
    begin: () => boolean,
  ): Promise<ServiceResponse>;
}

/** Checks before an attempt and after a failed attempt. */
interface AttemptPolicy {
  readonly isIdempotent: boolean;
  begin(): boolean;
  mayRetry(error: ServingError): boolean;
}

/** Maximum attempts of a call; 3 failures are not due to a single endpoint. */
const MAX_ATTEMPTS = 3;

/** Lowest HTTP status that counts as a failure of the service. */
const MIN_FAILURE_STATUS = 500;

type AttemptRunnerContext = Pick<
  ServingContext,
  'router' | 'endpoints' | 'split' | 'admission'
>;

/**
 * Creates a runner that calls the endpoints chosen by the router.
 *
 * @example
 * const reply = await attempts.runIdempotent(call, signal);
 */
export function createAttemptRunner(
  serving: AttemptRunnerContext,
  clock: Clock,
): AttemptRunner {
  return {
    runIdempotent: (call, signal) =>
      runWithFallback(call, signal, {
        isIdempotent: true,
        begin: () => true,
        mayRetry: () => serving.admission.tryAcquireRetry(call.service),
      }),
    runAtMostOnce: (call, signal, begin) =>
      runWithFallback(call, signal, {
        isIdempotent: false,
        begin,
        mayRetry: isKnownNotRun,
      }),
  };

  /**
   * Falls back to the incumbent when a call is known not to have run, and
   * counts an error of the candidate. Without the fallback, a candidate whose
   * endpoints refuse all connections would fail its share of the calls until
   * the move's deadline.
   */
  async function runWithFallback(
    call: RoutedCall,
    signal: AbortSignal,
    policy: AttemptPolicy,
  ): Promise<ServiceResponse> {
    try {
      return await runWithRetries(call, signal, policy);
    } catch (error) {
      const failure = toServingError(error);
      if (!isKnownNotRun(failure) || signal.aborted) {
        throw failure;
      }
      observeUnavailable(call, policy);
      if (call.version === call.incumbent) {
        throw failure;
      }
      const fallbackCall = {...call, version: call.incumbent};
      return await runWithFallback(fallbackCall, signal, policy);
    }
  }

  /** Counts an unreachable version, unless all its endpoints were reclaimed. */
  function observeUnavailable(call: RoutedCall, policy: AttemptPolicy): void {
    const {service, version} = call;
    if (availableVersions(service, serving.endpoints).has(version)) {
      observe(call, policy, true, 0);
    }
  }

  function observe(
    call: RoutedCall,
    policy: AttemptPolicy,
    isError: boolean,
    latencyMs: number,
  ): void {
    serving.split.observe({
      service: call.service,
      version: call.version,
      route: call.route,
      isError,
      latencyMs,
      loadFraction: serving.admission.loadFraction(call.service),
      isIdempotent: policy.isIdempotent,
    });
  }

  async function runWithRetries(
    call: RoutedCall,
    signal: AbortSignal,
    policy: AttemptPolicy,
  ): Promise<ServiceResponse> {
    const excluded = new Set<string>();
    let lastError: ServingError | undefined;
    while (excluded.size < MAX_ATTEMPTS) {
      try {
        return await runAttempt(call, excluded, signal, policy, lastError);
      } catch (error) {
        const failure = toServingError(error);
        lastError = mergeRunState(lastError, failure);
        if (!isRetryable(failure, signal) || !policy.mayRetry(failure)) {
          throw lastError;
        }
      }
    }
    throw lastError ?? noEndpointError(call.service, call.version);
  }

  async function runAttempt(
    call: RoutedCall,
    excluded: Set<string>,
    signal: AbortSignal,
    policy: AttemptPolicy,
    lastError: ServingError | undefined,
  ): Promise<ServiceResponse> {
    const choice = serving.router.choose({
      service: call.service,
      version: call.version,
      blocks: [],
      promptTokens: 0,
      excluded,
    });
    const endpoint = choice && serving.endpoints.get(choice.endpoint)?.plain;
    if (choice === undefined || endpoint === undefined) {
      choice?.finish({outcome: 'unreachable', latencyMs: 0});
      throw markFinal(lastError ?? noEndpointError(call.service, call.version));
    }
    excluded.add(choice.endpoint);
    if (!policy.begin()) {
      choice.finish({outcome: 'cancelled', latencyMs: 0});
      throw new ServingError(
        'cancelled',
        'cancelled before the call was sent',
        {
          run: 'not-run',
        },
      );
    }
    const startedAt = clock.now();
    const deadlineSignal = createDeadlineSignal(clock, call.deadline, signal);
    try {
      const reply = await endpoint.call(call.call, deadlineSignal.signal);
      const isFailure = reply.status >= MIN_FAILURE_STATUS;
      finish(isFailure ? 'failed' : 'ok', isFailure);
      return reply;
    } catch (error) {
      const failure = deadlineSignal.toCallError(toServingError(error));
      finish(attemptOutcome(failure), isVersionFault(failure));
      throw failure;
    } finally {
      deadlineSignal.dispose();
    }

    function finish(outcome: AttemptResult['outcome'], isError: boolean): void {
      const latencyMs = clock.now() - startedAt;
      choice?.finish({outcome, latencyMs});
      if (outcome === 'cancelled' || outcome === 'unreachable') {
        return;
      }
      observe(call, policy, isError, latencyMs);
    }
  }
}

/**
 * Returns the later error with the combined run state: a call that ran at one
 * endpoint and found the next unreachable must not be reported as not run.
 */
function mergeRunState(
  earlier: ServingError | undefined,
  later: ServingError,
): ServingError {
  if (earlier?.run !== 'may-have-run' || later.run === 'may-have-run') {
    return later;
  }
  const retryAfterMs = later.retryAfterMs;
  return new ServingError(later.kind, later.message, {
    run: 'may-have-run',
    cause: later,
    ...(retryAfterMs === undefined ? {} : {retryAfterMs}),
  });
}

function isKnownNotRun(error: ServingError): boolean {
  return error.kind === 'endpoint-unavailable' && error.run === 'not-run';
}

function isRetryable(error: ServingError, signal: AbortSignal): boolean {
  if (signal.aborted || finalErrors.has(error)) {
    return false;
  }
  return error.kind !== 'deadline-exceeded' && error.kind !== 'cancelled';
}

/** Errors after which no other endpoint is left to try. */
const finalErrors = new WeakSet<ServingError>();

function markFinal(error: ServingError): ServingError {
  finalErrors.add(error);
  return error;
}

function attemptOutcome(error: ServingError): AttemptResult['outcome'] {
  if (error.kind === 'cancelled') {
    return 'cancelled';
  }
  if (error.kind === 'endpoint-unavailable') {
    return 'unreachable';
  }
  // A deadline that passed before the call was sent is due to this entry's
  // queue, not to the endpoint.
  const isUnsent =
    error.kind === 'deadline-exceeded' && error.run === 'not-run';
  return isUnsent || error.kind === 'overloaded' ? 'overloaded' : 'failed';
}
