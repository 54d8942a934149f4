/** Runs requests to their end over as many attempts as it takes. */
import {ServingError, toServingError, type Clock} from '@skylarkfield/base';
import type {Generation} from '@skylarkfield/endpoints';
import type {StreamPlace, StreamRunner, StreamSummary} from './contracts.js';

export interface StreamRunnerOptions {
  readonly clock: Clock;
}

type Hooks = Parameters<StreamRunner['run']>[1];
type Request = Parameters<StreamRunner['run']>[0];

interface Progress {
  readonly delivered: string[];
  attempts: number;
  recomputedTokens: number;
}

/**
 * Makes a runner that goes on from the delivered position when an attempt is lost.
 *
 * @example
 * const runner = createStreamRunner({clock});
 * const summary = await runner.run(request, hooks, signal);
 */
export function createStreamRunner(options: StreamRunnerOptions): StreamRunner {
  const {clock} = options;
  let running = 0;

  async function attempt(
    request: Request,
    progress: Progress,
    place: StreamPlace,
    hooks: Hooks,
    signal: AbortSignal,
  ): Promise<StreamSummary> {
    progress.attempts += 1;
    const generation: Generation = {
      attempt: `${request.id}#${progress.attempts}`,
      prompt: request.prompt,
      maxTokens: request.maxTokens,
      urgency: request.urgency,
      seed: request.seed,
      delivered: [...progress.delivered],
    };
    for await (const event of place.engine.generate(generation, signal)) {
      if (event.attempt !== generation.attempt) {
        throw new ServingError('interrupted', 'the answer is crossed');
      }
      if (event.type === 'token') {
        if (event.index !== progress.delivered.length) {
          throw new ServingError('interrupted', 'the answer has a gap');
        }
        progress.delivered.push(event.text);
        await hooks.deliver({index: event.index, text: event.text});
      }
      if (event.type === 'end') {
        if (event.generatedTokens !== progress.delivered.length) {
          throw new ServingError('interrupted', 'the answer is truncated');
        }
        return {
          reason: event.reason,
          promptTokens: event.promptTokens,
          cachedTokens: event.cachedTokens,
          generatedTokens: event.generatedTokens,
          attempts: progress.attempts,
          recomputedTokens: progress.recomputedTokens,
        };
      }
    }
    throw new ServingError('interrupted', 'the answer has no end');
  }

  async function run(
    request: Request,
    hooks: Hooks,
    signal: AbortSignal,
  ): Promise<StreamSummary> {
    const progress = {delivered: [], attempts: 0, recomputedTokens: 0};
    const excluded = new Set<string>();
    for (;;) {
      const place = hooks.place(excluded, progress.delivered);
      const startMs = clock.now();
      try {
        const summary = await attempt(request, progress, place, hooks, signal);
        place.finish({
          outcome: 'ok',
          latencyMs: clock.now() - startMs,
          cachedTokens: summary.cachedTokens,
        });
        return summary;
      } catch (error) {
        const {kind} = toServingError(error);
        const isCancelled = kind === 'cancelled';
        place.finish({
          outcome: isCancelled ? 'cancelled' : 'failed',
          latencyMs: clock.now() - startMs,
        });
        if (isCancelled || signal.aborted || !hooks.mayRetry()) {
          throw error;
        }
        excluded.add(place.endpoint);
      }
    }
  }

  return {
    async run(request, hooks, signal) {
      running += 1;
      try {
        return await run(request, hooks, signal);
      } finally {
        running -= 1;
      }
    },
    dump: () => ({running}),
  };
}
