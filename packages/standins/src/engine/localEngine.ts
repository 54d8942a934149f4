/** In-process `Engine` over a simulated engine, for benchmarks and tests. */
import {ServingError, sleep, type Clock} from '@skylarkfield/base';
import {
  createEventQueue,
  type CacheExport,
  type Engine,
  type GenerationRequest,
  type GenerationEvent,
} from '@skylarkfield/endpoints';
import type {SimulatedEngine} from './simulatedEngine.js';

/** Response time of a paused engine: effectively unbounded. */
const PAUSED_RESPONSE_MS = 1e9;

export interface LocalEngineOptions {
  readonly clock: Clock;
  readonly simulatedEngine: SimulatedEngine;
  /** Returns the simulation at a URL, to fetch exported KV caches from it. */
  resolve(url: string): SimulatedEngine | undefined;
}

/**
 * Creates an engine that calls the simulation directly.
 *
 * @example
 * const resolve = (url: string) => models.get(url);
 * const engine = createLocalEngine({clock, model, resolve});
 */
export function createLocalEngine(options: LocalEngineOptions): Engine {
  const {clock, simulatedEngine: model, resolve} = options;

  function throwIfDown() {
    if (model.hasFault('down')) {
      throw new ServingError('endpoint-unavailable', 'connection refused');
    }
  }

  async function* generate(
    request: GenerationRequest,
    signal: AbortSignal,
  ): AsyncGenerator<GenerationEvent> {
    throwIfDown();
    const queue = createEventQueue<GenerationEvent>(() =>
      model.cancel(request.attempt),
    );
    const onAbort = () =>
      queue.fail(new ServingError('cancelled', 'generate was cancelled'));
    if (signal.aborted) {
      throw new ServingError('cancelled', 'generate was cancelled');
    }
    signal.addEventListener('abort', onAbort, {once: true});
    model.submit(request, {
      event(event) {
        queue.push(event);
        if (event.type === 'end') {
          queue.end();
        }
      },
      fail: error => queue.fail(error),
    });
    try {
      yield* queue;
    } finally {
      signal.removeEventListener('abort', onAbort);
    }
  }

  return {
    generate,
    async cancel(attempt) {
      throwIfDown();
      model.cancel(attempt);
    },
    async load(signal) {
      throwIfDown();
      if (model.hasFault('pause')) {
        await sleep(clock, PAUSED_RESPONSE_MS, signal);
      }
      return model.load();
    },
    async cacheEvents(after) {
      throwIfDown();
      return model.cacheEvents(after);
    },
    async exportCache(attempt): Promise<CacheExport> {
      throwIfDown();
      const exported = model.exportCache(attempt);
      if (exported === undefined) {
        throw new ServingError('not-found', 'there is no KV cache to export');
      }
      return toCacheExport(exported);
    },
    async importCache(from, signal) {
      throwIfDown();
      const source = resolve(from.url);
      const exported = source?.getExport(from.handle);
      if (exported === undefined || source?.hasFault('down')) {
        throw new ServingError(
          'endpoint-failed',
          'cannot fetch the exported KV cache',
        );
      }
      await sleep(clock, model.importDelayMs(exported), signal);
      model.importCache(exported);
      return toCacheExport(exported);
    },
    async order(order) {
      throwIfDown();
      model.order(order);
    },
    async running() {
      throwIfDown();
      return model.running();
    },
  };
}

function toCacheExport(cache: CacheExport): CacheExport {
  return {handle: cache.handle, tokens: cache.tokens, bytes: cache.bytes};
}
