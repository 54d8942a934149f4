/** Runs generation requests and repeats failed attempts. */
import {
  ServingError,
  sleep,
  toServingError,
  type Clock,
  type ErrorKind,
} from '@skylarkfield/base';
import {runAttempt, type AttemptEnd} from './attempt.js';
import type {
  EndpointPick,
  StreamRequest,
  StreamRunner,
  StreamSummary,
} from './contracts.js';
import {createMigrationCosts} from './migrationCosts.js';
import type {AttemptTarget} from './migration.js';
import {probeLiveness} from './probe.js';
import {createRequestProgress, type RequestProgress} from './progress.js';
import {defaultStallLimits, type StallLimits} from './stallDetector.js';

export interface StreamRunnerOptions {
  readonly clock: Clock;
  readonly limits?: Partial<StallLimits>;
  /** Entry id, prefixed to attempt ids to make them unique across entries. */
  readonly entryId?: string;
  /** Upper bound of the attempts of one request. */
  readonly maxAttempts?: number;
}

type RequestHooks = Parameters<StreamRunner['run']>[1];

const DEFAULT_MAX_ATTEMPTS = 10;
/** Delay before endpoints that were excluded after a failure are used again. */
const EXCLUDED_RETRY_DELAY_MS = 150;

/** Kinds of errors that every endpoint would return for the same request. */
const NON_RETRYABLE_KINDS: ReadonlySet<ErrorKind> = new Set([
  'bad-request',
  'too-large',
  'forbidden',
  'unauthenticated',
]);

/**
 * Creates a runner. After a failed attempt, the next attempt resumes the answer
 * exactly after the last token that the caller has received.
 *
 * @example
 * const runner = createStreamRunner({clock});
 * const summary = await runner.run(request, hooks, signal);
 */
export function createStreamRunner(options: StreamRunnerOptions): StreamRunner {
  const {clock, entryId, maxAttempts = DEFAULT_MAX_ATTEMPTS} = options;
  const attemptIdPrefix = entryId === undefined ? '' : `${entryId}-`;
  const limits = {...defaultStallLimits, ...options.limits};
  const costs = createMigrationCosts();
  const openRequests = new Set<RequestProgress>();
  const totals = {requests: 0, attempts: 0, moved: 0, lost: 0, recomputed: 0};

  /** Picks an endpoint; allows excluded endpoints if no other is left. */
  async function pickEndpoint(
    progress: RequestProgress,
    hooks: RequestHooks,
    signal: AbortSignal,
  ): Promise<EndpointPick> {
    const {excludedEndpoints, deliveredTokens} = progress;
    try {
      return hooks.pickEndpoint(excludedEndpoints, deliveredTokens);
    } catch (error) {
      if (excludedEndpoints.size === 0) {
        throw error;
      }
    }
    await sleep(clock, EXCLUDED_RETRY_DELAY_MS, signal);
    excludedEndpoints.clear();
    return hooks.pickEndpoint(excludedEndpoints, deliveredTokens);
  }

  async function runAttempts(
    progress: RequestProgress,
    hooks: RequestHooks,
    signal: AbortSignal,
  ): Promise<StreamSummary> {
    let target: AttemptTarget | undefined;
    for (;;) {
      target ??= {
        pick: await pickEndpoint(progress, hooks, signal),
        importedCache: undefined,
      };
      const {pick} = target;
      const attemptEnd: AttemptEnd = await runAttempt({
        clock,
        limits,
        costs,
        progress,
        attemptIdPrefix,
        target,
        pickEndpoint: () =>
          hooks.pickEndpoint(
            new Set([...progress.excludedEndpoints, pick.endpoint]),
            progress.deliveredTokens,
          ),
        deliver: token => hooks.deliver(token),
        signal,
      });
      if (attemptEnd.type === 'ended') {
        return createSummary(progress, attemptEnd.event);
      }
      target = attemptEnd.type === 'moved' ? attemptEnd.target : undefined;
      if (attemptEnd.type === 'moved') {
        totals.moved += 1;
        continue;
      }
      totals.lost += 1;
      await prepareRetry(progress, pick, attemptEnd.error, hooks);
    }
  }

  /**
   * Throws `error` if the request must not be retried. Otherwise excludes the
   * failed endpoint, unless the stream can resume at it.
   */
  async function prepareRetry(
    progress: RequestProgress,
    pick: EndpointPick,
    error: ServingError,
    hooks: RequestHooks,
  ) {
    if (
      NON_RETRYABLE_KINDS.has(error.kind) ||
      progress.attemptCount >= maxAttempts
    ) {
      throw error;
    }
    const hasProgress =
      progress.deliveredTokens.length > progress.deliveredCountAtAttemptStart;
    // Only attempts that cost an engine work and delivered no token use up the
    // retry budget, since such attempts cause retry storms. All other failed
    // attempts delivered tokens or never reached an engine.
    const isWastedWork = !hasProgress && error.kind !== 'endpoint-unavailable';
    if (isWastedWork && !hooks.mayRetry()) {
      throw error;
    }
    if (!(await canResumeAtSameEndpoint(progress, pick, error, hasProgress))) {
      progress.excludedEndpoints.add(pick.endpoint);
    }
  }

  /**
   * Returns whether the stream can resume at the same endpoint, which it does
   * at most once: an engine that lost only the connection still has the tokens
   * cached.
   */
  async function canResumeAtSameEndpoint(
    progress: RequestProgress,
    pick: EndpointPick,
    error: ServingError,
    hasProgress: boolean,
  ): Promise<boolean> {
    if (error.kind !== 'interrupted' || !hasProgress) {
      return false;
    }
    if (
      pick.leavingSignal.aborted ||
      progress.resumedEndpoints.has(pick.endpoint)
    ) {
      return false;
    }
    progress.resumedEndpoints.add(pick.endpoint);
    return probeLiveness(clock, pick.engine, limits.probeTimeoutMs);
  }

  return {
    async run(request: StreamRequest, hooks, signal) {
      const progress = createRequestProgress(request);
      openRequests.add(progress);
      totals.requests += 1;
      try {
        return await runAttempts(progress, hooks, signal);
      } catch (error) {
        throw withRequestRunState(progress, toServingError(error));
      } finally {
        openRequests.delete(progress);
        totals.attempts += progress.attemptCount;
        totals.recomputed += progress.recomputedTokens;
      }
    },
    dump: () => ({
      totals: {...totals},
      costs: costs.dump(),
      open: [...openRequests].map(progress => ({
        id: progress.request.id,
        attempt: progress.attemptCount,
        state: progress.stateMachine?.current ?? 'placing',
        endpoint: progress.endpoint,
        delivered: progress.deliveredTokens.length,
      })),
    }),
  };
}

function createSummary(
  progress: RequestProgress,
  event: {
    readonly reason: 'stop' | 'length';
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly generatedTokens: number;
  },
): StreamSummary {
  return {
    reason: event.reason,
    promptTokens: event.promptTokens,
    cachedTokens: event.cachedTokens,
    generatedTokens: event.generatedTokens,
    attempts: progress.attemptCount,
    recomputedTokens: progress.recomputedTokens,
  };
}

/**
 * Returns the error with the run state of the whole request: an earlier attempt
 * may have reached an engine although the last attempt did not.
 */
function withRequestRunState(
  progress: RequestProgress,
  error: ServingError,
): ServingError {
  const run = progress.mayHaveRun ? 'may-have-run' : 'not-run';
  if (error.run === run) {
    return error;
  }
  return new ServingError(error.kind, error.message, {
    run,
    cause: error,
    ...(error.retryAfterMs === undefined
      ? {}
      : {retryAfterMs: error.retryAfterMs}),
  });
}
