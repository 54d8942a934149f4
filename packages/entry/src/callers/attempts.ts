/** Attempts at plain services: which endpoint, and whether another may follow. */
import {ServingError, toServingError, type Clock} from '@skylarkfield/base';
import type {
  AttemptResult,
  ServiceCall,
  ServiceResponse,
} from '@skylarkfield/endpoints';
import {listedVersions} from '../listedVersions.js';
import type {Serving} from '../serving.js';
import {createDeadlineSignal} from './deadlineSignal.js';
import {isVersionFault} from './observation.js';
import {noEndpoint} from './noEndpoint.js';

/** A call with all that decides where it goes. */
export interface PlacedCall {
  readonly service: string;
  readonly version: string;
  /** Takes the call when no endpoint of `version` can; the same when no move is under way. */
  readonly incumbent: string;
  readonly route: string;
  readonly call: ServiceCall;
  /** Monotonic milliseconds. */
  readonly deadline: number;
}

export interface Attempts {
  /** Makes attempts until one answers, the retry budget is used up or the deadline passes. */
  repeatable(call: PlacedCall, signal: AbortSignal): Promise<ServiceResponse>;
  /**
   * Makes attempts only as long as none of them can have run. `begin` is asked
   * right before a call goes out; false means that it must not.
   */
  atMostOnce(
    call: PlacedCall,
    signal: AbortSignal,
    begin: () => boolean,
  ): Promise<ServiceResponse>;
}

/** What is asked before an attempt and after a failed one. */
interface AttemptRules {
  readonly isIdempotent: boolean;
  begin(): boolean;
  mayRetry(error: ServingError): boolean;
}

/** More attempts than this say that the trouble is not one endpoint's. */
const MOST_ATTEMPTS = 3;

/** Statuses by which a service says that it could not do its work. */
const FIRST_FAILURE_STATUS = 500;

type AttemptServing = Pick<
  Serving,
  'router' | 'endpoints' | 'split' | 'admission'
>;

/**
 * Makes the attempts over the router's choice of endpoints.
 *
 * @example
 * const reply = await attempts.repeatable(call, signal);
 */
export function createAttempts(
  serving: AttemptServing,
  clock: Clock,
): Attempts {
  return {
    repeatable: (call, signal) =>
      attemptVersions(call, signal, {
        isIdempotent: true,
        begin: () => true,
        mayRetry: () => serving.admission.tryRetry(call.service),
      }),
    atMostOnce: (call, signal, begin) =>
      attemptVersions(call, signal, {
        isIdempotent: false,
        begin,
        mayRetry: isSurelyNotRun,
      }),
  };

  /**
   * A candidate version whose endpoints refuse all connections would fail its
   * share of the calls until the move's deadline. A call that certainly did not
   * run there goes to the incumbent, and counts as an error of the candidate.
   */
  async function attemptVersions(
    call: PlacedCall,
    signal: AbortSignal,
    rules: AttemptRules,
  ): Promise<ServiceResponse> {
    try {
      return await attemptUntil(call, signal, rules);
    } catch (error) {
      const failure = toServingError(error);
      if (!isSurelyNotRun(failure) || signal.aborted) {
        throw failure;
      }
      observeUnavailable(call, rules);
      if (call.version === call.incumbent) {
        throw failure;
      }
      const again = {...call, version: call.incumbent};
      return await attemptVersions(again, signal, rules);
    }
  }

  /** A version all of whose endpoints were reclaimed is not at fault; one that is listed and unreachable is. */
  function observeUnavailable(call: PlacedCall, rules: AttemptRules): void {
    const {service, version} = call;
    if (listedVersions(service, serving.endpoints).has(version)) {
      observe(call, rules, true, 0);
    }
  }

  function observe(
    call: PlacedCall,
    rules: AttemptRules,
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
      isIdempotent: rules.isIdempotent,
    });
  }

  async function attemptUntil(
    call: PlacedCall,
    signal: AbortSignal,
    rules: AttemptRules,
  ): Promise<ServiceResponse> {
    const excluded = new Set<string>();
    let lastError: ServingError | undefined;
    while (excluded.size < MOST_ATTEMPTS) {
      try {
        return await attemptOnce(call, excluded, signal, rules, lastError);
      } catch (error) {
        const failure = toServingError(error);
        lastError = runOfBoth(lastError, failure);
        if (!isWorthRetrying(failure, signal) || !rules.mayRetry(failure)) {
          throw lastError;
        }
      }
    }
    throw lastError ?? noEndpoint(call.service, call.version);
  }

  async function attemptOnce(
    call: PlacedCall,
    excluded: Set<string>,
    signal: AbortSignal,
    rules: AttemptRules,
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
      throw withoutRetry(lastError ?? noEndpoint(call.service, call.version));
    }
    excluded.add(choice.endpoint);
    if (!rules.begin()) {
      choice.finish({outcome: 'cancelled', latencyMs: 0});
      throw new ServingError('cancelled', 'given up before it was sent', {
        run: 'not-run',
      });
    }
    const startedAt = clock.now();
    const limit = createDeadlineSignal(clock, call.deadline, signal);
    try {
      const reply = await endpoint.call(call.call, limit.signal);
      const isFailure = reply.status >= FIRST_FAILURE_STATUS;
      finish(isFailure ? 'failed' : 'ok', isFailure);
      return reply;
    } catch (error) {
      const failure = limit.explain(toServingError(error));
      finish(attemptOutcome(failure), isVersionFault(failure));
      throw failure;
    } finally {
      limit.dispose();
    }

    function finish(outcome: AttemptResult['outcome'], isError: boolean): void {
      const latencyMs = clock.now() - startedAt;
      choice?.finish({outcome, latencyMs});
      if (outcome === 'cancelled' || outcome === 'unreachable') {
        return;
      }
      observe(call, rules, isError, latencyMs);
    }
  }
}

/**
 * The later error with the run state of both: a call that ran at one endpoint
 * and found the next unreachable must not be refused as "not run".
 */
function runOfBoth(
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

function isSurelyNotRun(error: ServingError): boolean {
  return error.kind === 'endpoint-unavailable' && error.run === 'not-run';
}

function isWorthRetrying(error: ServingError, signal: AbortSignal): boolean {
  if (signal.aborted || finalErrors.has(error)) {
    return false;
  }
  return error.kind !== 'deadline-exceeded' && error.kind !== 'cancelled';
}

/** Errors after which there is no other endpoint left to try. */
const finalErrors = new WeakSet<ServingError>();

function withoutRetry(error: ServingError): ServingError {
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
  // A deadline that passed before the call was sent is this entry's queue, not the endpoint's fault.
  const isUnsent =
    error.kind === 'deadline-exceeded' && error.run === 'not-run';
  return isUnsent || error.kind === 'overloaded' ? 'overloaded' : 'failed';
}
