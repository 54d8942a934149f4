/** Runs requests to their end over as many attempts as it takes. */
import {
  ServingError,
  sleep,
  toServingError,
  type Clock,
  type ErrorKind,
} from '@skylarkfield/base';
import {runAttempt, type AttemptEnd} from './attempt.js';
import type {
  StreamPlace,
  StreamRequest,
  StreamRunner,
  StreamSummary,
} from './contracts.js';
import {createMoveCosts} from './moveCosts.js';
import type {PreparedPlace} from './movePlan.js';
import {isAlive} from './probe.js';
import {createProgress, type Progress} from './progress.js';
import {defaultStallLimits, type StallLimits} from './stallWatch.js';

export interface StreamRunnerOptions {
  readonly clock: Clock;
  readonly limits?: Partial<StallLimits>;
  /** Id of this entry; begins every attempt's id, so that entries tell theirs apart. */
  readonly self?: string;
  /** Attempts that one request may take in all. */
  readonly maxAttempts?: number;
}

type Hooks = Parameters<StreamRunner['run']>[1];

const DEFAULT_MAX_ATTEMPTS = 10;
/** Wait before endpoints that failed this request are asked again. */
const SECOND_ROUND_MS = 150;

/** Errors that another endpoint would answer just the same. */
const FINAL_KINDS: ReadonlySet<ErrorKind> = new Set([
  'bad-request',
  'too-large',
  'forbidden',
  'unauthenticated',
]);

/**
 * Makes a runner. An attempt that is lost goes on elsewhere from the exact
 * position that the caller has.
 *
 * @example
 * const runner = createStreamRunner({clock});
 * const summary = await runner.run(request, hooks, signal);
 */
export function createStreamRunner(options: StreamRunnerOptions): StreamRunner {
  const {clock, self, maxAttempts = DEFAULT_MAX_ATTEMPTS} = options;
  const prefix = self === undefined ? '' : `${self}-`;
  const limits = {...defaultStallLimits, ...options.limits};
  const costs = createMoveCosts();
  const open = new Set<Progress>();
  const totals = {requests: 0, attempts: 0, moved: 0, lost: 0, recomputed: 0};

  /** Takes a place; endpoints that failed before are asked again when no other is left. */
  async function takePlace(
    progress: Progress,
    hooks: Hooks,
    signal: AbortSignal,
  ): Promise<StreamPlace> {
    const {excluded, delivered} = progress;
    try {
      return hooks.place(excluded, delivered);
    } catch (error) {
      if (excluded.size === 0) {
        throw error;
      }
    }
    await sleep(clock, SECOND_ROUND_MS, signal);
    excluded.clear();
    return hooks.place(excluded, delivered);
  }

  async function runToEnd(
    progress: Progress,
    hooks: Hooks,
    signal: AbortSignal,
  ): Promise<StreamSummary> {
    let at: PreparedPlace | undefined;
    for (;;) {
      at ??= {
        place: await takePlace(progress, hooks, signal),
        importedCache: undefined,
      };
      const {place} = at;
      const end: AttemptEnd = await runAttempt({
        clock,
        limits,
        costs,
        progress,
        prefix,
        at,
        takePlace: () =>
          hooks.place(
            new Set([...progress.excluded, place.endpoint]),
            progress.delivered,
          ),
        deliver: token => hooks.deliver(token),
        signal,
      });
      if (end.type === 'ended') {
        return summary(progress, end.event);
      }
      at = end.type === 'moved' ? end.to : undefined;
      if (end.type === 'moved') {
        totals.moved += 1;
        continue;
      }
      totals.lost += 1;
      await afterLoss(progress, place, end.error, hooks);
    }
  }

  /** Decides whether a lost attempt is followed by another, and where not. */
  async function afterLoss(
    progress: Progress,
    place: StreamPlace,
    error: ServingError,
    hooks: Hooks,
  ) {
    if (FINAL_KINDS.has(error.kind) || progress.attempts >= maxAttempts) {
      throw error;
    }
    const hasProgress = progress.delivered.length > progress.deliveredBefore;
    // Only attempts that cost an engine work and brought nothing take from
    // the budget: these are what makes a storm. Each of the others is paid for
    // by tokens delivered, or never reached an engine.
    const isCostly = !hasProgress && error.kind !== 'endpoint-unavailable';
    if (isCostly && !hooks.mayRetry()) {
      throw error;
    }
    if (!(await mayResumeThere(progress, place, error, hasProgress))) {
      progress.excluded.add(place.endpoint);
    }
  }

  /** An engine that only lost the connection has all tokens in its cache still. */
  async function mayResumeThere(
    progress: Progress,
    place: StreamPlace,
    error: ServingError,
    hasProgress: boolean,
  ): Promise<boolean> {
    if (error.kind !== 'interrupted' || !hasProgress) {
      return false;
    }
    if (place.leaving.aborted || progress.cutOnce.has(place.endpoint)) {
      return false;
    }
    progress.cutOnce.add(place.endpoint);
    return isAlive(clock, place.engine, limits.probeMs);
  }

  return {
    async run(request: StreamRequest, hooks, signal) {
      const progress = createProgress(request);
      open.add(progress);
      totals.requests += 1;
      try {
        return await runToEnd(progress, hooks, signal);
      } catch (error) {
        throw truthfulError(progress, toServingError(error));
      } finally {
        open.delete(progress);
        totals.attempts += progress.attempts;
        totals.recomputed += progress.recomputedTokens;
      }
    },
    dump: () => ({
      totals: {...totals},
      costs: costs.dump(),
      open: [...open].map(progress => ({
        id: progress.request.id,
        attempt: progress.attempts,
        state: progress.states?.current ?? 'placing',
        endpoint: progress.endpoint,
        delivered: progress.delivered.length,
      })),
    }),
  };
}

function summary(
  progress: Progress,
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
 * The error with the run state of the request as a whole: the last attempt may
 * not have reached an engine while an earlier one did.
 */
function truthfulError(progress: Progress, error: ServingError): ServingError {
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
