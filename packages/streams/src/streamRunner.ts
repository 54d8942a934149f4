/** Runs generation requests and repeats failed or stalled attempts. */
import {
  ServingError,
  sleep,
  toServingError,
  type Clock,
} from '@skylarkfield/base';
import type {AttemptFailure} from './attempt.js';
import {raceAttempts} from './attemptRace.js';
import type {
  EndpointPick,
  StreamRequest,
  StreamRunner,
  StreamSummary,
} from './contracts.js';
import {createMigrationCosts} from './migrationCosts.js';
import {createRequestProgress, type RequestProgress} from './progress.js';
import {excludeEndpoint, isRetryable, isWastedWork} from './retryRules.js';
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
  const totals = {
    requests: 0,
    attempts: 0,
    moved: 0,
    lost: 0,
    hedged: 0,
    recomputed: 0,
  };

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
    for (;;) {
      const pick = await pickEndpoint(progress, hooks, signal);
      const raceEnd = await raceAttempts({
        clock,
        limits,
        costs,
        progress,
        attemptIdPrefix,
        maxAttempts,
        target: {pick, importedCache: undefined},
        pickEndpoint: excludedEndpoints =>
          hooks.pickEndpoint(excludedEndpoints, progress.deliveredTokens),
        mayRetry: () => hooks.mayRetry(),
        deliver: token => hooks.deliver(token),
        onCount: event => (totals[event] += 1),
        signal,
      });
      if (raceEnd.type === 'ended') {
        return createSummary(progress, raceEnd.event);
      }
      await prepareRetry(progress, raceEnd.pick, raceEnd.failure, hooks);
    }
  }

  /**
   * Throws the failure's error if the request must not be retried. Otherwise
   * excludes the failed endpoint, unless the stream can resume at it.
   */
  async function prepareRetry(
    progress: RequestProgress,
    pick: EndpointPick,
    failure: AttemptFailure,
    hooks: RequestHooks,
  ) {
    if (
      !isRetryable(failure, progress, maxAttempts) ||
      (isWastedWork(failure) && !hooks.mayRetry())
    ) {
      throw failure.error;
    }
    const {probeTimeoutMs} = limits;
    await excludeEndpoint({clock, probeTimeoutMs, progress, pick, failure});
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
