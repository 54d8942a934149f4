/** Calls to plain services: endpoint choice, retries and version fallback. */
import {ServingError, toServingError, type Clock} from '@skylarkfield/base';
import {
  parseRestMs,
  type AttemptResult,
  type ServiceCall,
  type ServiceResponse,
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
  /** Fallback version; equals `version` when no version move is in progress. */
  readonly incumbent: string;
  /** Label of the matching route in the evidence for version moves. */
  readonly route: string;
  readonly call: ServiceCall;
  /** Monotonic milliseconds by which the caller needs a response. */
  readonly deadline: number;
}

export interface AttemptRunner {
  /**
   * Retries until a response, until `MAX_ATTEMPTS` attempts have failed, or
   * until the retry budget is exhausted or the deadline passes.
   */
  runIdempotent(
    routedCall: RoutedCall,
    signal: AbortSignal,
  ): Promise<ServiceResponse>;
  /**
   * Retries only while no attempt can have run the call. `begin` is called
   * right before the call is sent and returns false to cancel the call.
   */
  runAtMostOnce(
    routedCall: RoutedCall,
    signal: AbortSignal,
    begin: () => boolean,
  ): Promise<ServiceResponse>;
}

/** Checks before an attempt and after a failed attempt. */
interface AttemptPolicy {
  readonly isIdempotent: boolean;
  /** Called right before the call is sent; false cancels the call. */
  begin(): boolean;
  mayRetry(error: ServingError): boolean;
}

/**
 * Maximum attempts of a call, each at another endpoint; 3 failures are not due
 * to a single endpoint.
 */
const MAX_ATTEMPTS = 3;

/** Lowest HTTP status that counts as a failure of the service. */
const MIN_FAILURE_STATUS = 500;

type AttemptRunnerContext = Pick<
  ServingContext,
  'router' | 'rests' | 'endpointPool' | 'trafficSplit' | 'admission'
>;

/**
 * Creates a runner that calls the endpoints chosen by the router.
 *
 * @example
 * const reply = await attemptRunner.runIdempotent(routedCall, signal);
 */
export function createAttemptRunner(
  serving: AttemptRunnerContext,
  clock: Clock,
): AttemptRunner {
  return {
    runIdempotent: (routedCall, signal) =>
      runWithFallback(routedCall, signal, {
        isIdempotent: true,
        begin: () => true,
        mayRetry: () => serving.admission.tryAcquireRetry(routedCall.service),
      }),
    runAtMostOnce: (routedCall, signal, begin) =>
      runWithFallback(routedCall, signal, {
        isIdempotent: false,
        begin,
        mayRetry: isKnownNotRun,
      }),
  };

  /**
   * Falls back to the incumbent when a call is known not to have run, and
   * counts an error of the candidate. Without the fallback, a candidate whose
   * endpoints refuse all connections would fail its share of the calls until
   * the deadline of the move to that candidate.
   */
  async function runWithFallback(
    routedCall: RoutedCall,
    signal: AbortSignal,
    policy: AttemptPolicy,
  ): Promise<ServiceResponse> {
    try {
      return await runWithRetries(routedCall, signal, policy);
    } catch (error) {
      const failure = toServingError(error);
      if (!isKnownNotRun(failure) || signal.aborted) {
        throw failure;
      }
      recordUnavailable(routedCall, policy);
      if (routedCall.version === routedCall.incumbent) {
        throw failure;
      }
      const fallbackCall = {...routedCall, version: routedCall.incumbent};
      return await runWithFallback(fallbackCall, signal, policy);
    }
  }

  /**
   * Records an error of an unreachable version, unless all endpoints of the
   * version were reclaimed.
   */
  function recordUnavailable(
    routedCall: RoutedCall,
    policy: AttemptPolicy,
  ): void {
    const {service, version} = routedCall;
    if (availableVersions(service, serving.endpointPool).has(version)) {
      recordSample(routedCall, policy, true, 0);
    }
  }

  function recordSample(
    routedCall: RoutedCall,
    policy: AttemptPolicy,
    isError: boolean,
    latencyMs: number,
  ): void {
    serving.trafficSplit.recordSample({
      service: routedCall.service,
      version: routedCall.version,
      route: routedCall.route,
      isError,
      latencyMs,
      loadFraction: serving.admission.loadFraction(routedCall.service),
      isIdempotent: policy.isIdempotent,
    });
  }

  function unavailableError({service, version}: RoutedCall): ServingError {
    const waitMs = serving.router.rateLimitWaitMs(service);
    return noEndpointError(service, version, waitMs);
  }

  /** Records whether the endpoint that has replied accepts more calls. */
  function recordAcceptance(endpoint: string, reply: ServiceResponse): void {
    const restMs = parseRestMs(reply);
    if (restMs === undefined) {
      serving.rests.recordAnswer(endpoint);
      return;
    }
    serving.rests.recordRest(endpoint, restMs);
  }

  async function runWithRetries(
    routedCall: RoutedCall,
    signal: AbortSignal,
    policy: AttemptPolicy,
  ): Promise<ServiceResponse> {
    const attemptedEndpoints = new Set<string>();
    let lastError: ServingError | undefined;
    while (attemptedEndpoints.size < MAX_ATTEMPTS) {
      try {
        return await runAttempt(
          routedCall,
          attemptedEndpoints,
          signal,
          policy,
          lastError,
        );
      } catch (error) {
        const failure = toServingError(error);
        lastError = mergeRunState(lastError, failure);
        if (!isRetryable(failure, signal) || !policy.mayRetry(failure)) {
          throw lastError;
        }
      }
    }
    throw lastError ?? unavailableError(routedCall);
  }

  async function runAttempt(
    routedCall: RoutedCall,
    attemptedEndpoints: Set<string>,
    signal: AbortSignal,
    policy: AttemptPolicy,
    lastError: ServingError | undefined,
  ): Promise<ServiceResponse> {
    const choice = serving.router.choose({
      service: routedCall.service,
      version: routedCall.version,
      blocks: [],
      promptTokens: 0,
      excluded: attemptedEndpoints,
    });
    const endpoint =
      choice && serving.endpointPool.get(choice.endpoint)?.plainService;
    if (choice === undefined || endpoint === undefined) {
      choice?.finish({outcome: 'unreachable', latencyMs: 0});
      throw markFinal(lastError ?? unavailableError(routedCall));
    }
    attemptedEndpoints.add(choice.endpoint);
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
    const deadlineSignal = createDeadlineSignal(
      clock,
      routedCall.deadline,
      signal,
    );
    try {
      const reply = await endpoint.call(routedCall.call, deadlineSignal.signal);
      recordAcceptance(choice.endpoint, reply);
      const isFailure = reply.status >= MIN_FAILURE_STATUS;
      finishAttempt(isFailure ? 'failed' : 'ok', isFailure);
      return reply;
    } catch (error) {
      const failure = deadlineSignal.toCallError(toServingError(error));
      finishAttempt(attemptOutcome(failure), isVersionFault(failure));
      throw failure;
    } finally {
      deadlineSignal.dispose();
    }

    function finishAttempt(
      outcome: AttemptResult['outcome'],
      isError: boolean,
    ): void {
      const latencyMs = clock.now() - startedAt;
      choice?.finish({outcome, latencyMs});
      if (outcome === 'cancelled' || outcome === 'unreachable') {
        return;
      }
      recordSample(routedCall, policy, isError, latencyMs);
    }
  }
}

/**
 * Returns the later error with the combined run state: a call that may have
 * run at one endpoint must not be reported as not run because the next endpoint
 * was unreachable.
 */
function mergeRunState(
  earlierError: ServingError | undefined,
  laterError: ServingError,
): ServingError {
  if (
    earlierError?.run !== 'may-have-run' ||
    laterError.run === 'may-have-run'
  ) {
    return laterError;
  }
  const retryAfterMs = laterError.retryAfterMs;
  return new ServingError(laterError.kind, laterError.message, {
    run: 'may-have-run',
    cause: laterError,
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
