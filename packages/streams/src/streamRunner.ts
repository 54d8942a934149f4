/** Runs generation requests, with further attempts after failures. */
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
import {isAlive} from './probe.js';
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

type Hooks = Parameters<StreamRunner['run']>[1];

const DEFAULT_MAX_ATTEMPTS = 10;
/** Delay before endpoints excluded after a failure are used again. */
const EXCLUDED_RETRY_DELAY_MS = 150;

/** Errors that every endpoint would return for the request. */
const NON_RETRYABLE_KINDS: ReadonlySet<ErrorKind> = new Set([
  'bad-request',
  'too-large',
  'forbidden',
  'unauthenticated',
]);

/**
 * Creates a runner. After a failed attempt, the next one resumes from the exact
 * position that the caller has received.
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

  /** Picks an endpoint; uses failed ones again when no other is left. */
  async function pickEndpoint(
    progress: RequestProgress,
    hooks: Hooks,
    signal: AbortSignal,
  ): Promise<EndpointPick> {
    const {excluded, delivered} = progress;
    try {
      return hooks.pickEndpoint(excluded, delivered);
    } catch (error) {
      if (excluded.size === 0) {
        throw error;
      }
    }
    await sleep(clock, EXCLUDED_RETRY_DELAY_MS, signal);
    excluded.clear();
    return hooks.pickEndpoint(excluded, delivered);
  }

  async function runAttempts(
    progress: RequestProgress,
    hooks: Hooks,
    signal: AbortSignal,
  ): Promise<StreamSummary> {
    let target: AttemptTarget | undefined;
    for (;;) {
      target ??= {
        pick: await pickEndpoint(progress, hooks, signal),
        importedCache: undefined,
      };
      const {pick} = target;
      const end: AttemptEnd = await runAttempt({
        clock,
        limits,
        costs,
        progress,
        attemptIdPrefix,
        target,
        pickEndpoint: () =>
          hooks.pickEndpoint(
            new Set([...progress.excluded, pick.endpoint]),
            progress.delivered,
          ),
        deliver: token => hooks.deliver(token),
        signal,
      });
      if (end.type === 'ended') {
        return createSummary(progress, end.event);
      }
      target = end.type === 'moved' ? end.target : undefined;
      if (end.type === 'moved') {
        totals.moved += 1;
        continue;
      }
      totals.lost += 1;
      await prepareRetry(progress, pick, end.error, hooks);
    }
  }

  /** Throws if no retry is allowed; may exclude the failed endpoint. */
  async function prepareRetry(
    progress: RequestProgress,
    pick: EndpointPick,
    error: ServingError,
    hooks: Hooks,
  ) {
    if (
      NON_RETRYABLE_KINDS.has(error.kind) ||
      progress.attempts >= maxAttempts
    ) {
      throw error;
    }
    const hasProgress =
      progress.delivered.length > progress.deliveredAtAttemptStart;
    // Only attempts that cost an engine work and delivered no token consume the
    // retry budget, since these cause retry storms. Other failed attempts
    // delivered tokens or never reached an engine.
    const isWasted = !hasProgress && error.kind !== 'endpoint-unavailable';
    if (isWasted && !hooks.mayRetry()) {
      throw error;
    }
    if (!(await canResumeAtSameEndpoint(progress, pick, error, hasProgress))) {
      progress.excluded.add(pick.endpoint);
    }
  }

  /** An engine that only lost the connection still has the tokens cached. */
  async function canResumeAtSameEndpoint(
    progress: RequestProgress,
    pick: EndpointPick,
    error: ServingError,
    hasProgress: boolean,
  ): Promise<boolean> {
    if (error.kind !== 'interrupted' || !hasProgress) {
      return false;
    }
    if (pick.leaving.aborted || progress.resumedEndpoints.has(pick.endpoint)) {
      return false;
    }
    progress.resumedEndpoints.add(pick.endpoint);
    return isAlive(clock, pick.engine, limits.probeTimeoutMs);
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
        totals.attempts += progress.attempts;
        totals.recomputed += progress.recomputedTokens;
      }
    },
    dump: () => ({
      totals: {...totals},
      costs: costs.dump(),
      open: [...openRequests].map(progress => ({
        id: progress.request.id,
        attempt: progress.attempts,
        state: progress.stateMachine?.current ?? 'placing',
        endpoint: progress.endpoint,
        delivered: progress.delivered.length,
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
    attempts: progress.attempts,
    recomputedTokens: progress.recomputedTokens,
  };
}

/**
 * Returns the error with the run state of the whole request: an earlier attempt
 * may have reached an engine although the last one did not.
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
