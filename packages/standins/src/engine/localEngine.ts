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
  /** Returns the simulated engine at a URL, to fetch its exported KV caches. */
  resolveEngine(url: string): SimulatedEngine | undefined;
}

/**
 * Creates an engine that calls the simulation directly.
 *
 * @example
 * const resolve = (url: string) => simulatedEngines.get(url);
 * const engine = createLocalEngine({clock, simulatedEngine, resolve});
 */
export function createLocalEngine(options: LocalEngineOptions): Engine {
  const {clock, simulatedEngine, resolveEngine} = options;

  function throwIfDown() {
    if (simulatedEngine.hasFault('down')) {
      throw new ServingError('endpoint-unavailable', 'connection refused');
    }
  }

  async function* generate(
    request: GenerationRequest,
    signal: AbortSignal,
  ): AsyncGenerator<GenerationEvent> {
    throwIfDown();
    const queue = createEventQueue<GenerationEvent>(() =>
      simulatedEngine.cancel(request.attempt),
    );
    const onAbort = () =>
      queue.fail(new ServingError('cancelled', 'generate was cancelled'));
    if (signal.aborted) {
      throw new ServingError('cancelled', 'generate was cancelled');
    }
    signal.addEventListener('abort', onAbort, {once: true});
    simulatedEngine.submit(request, {
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
      simulatedEngine.cancel(attempt);
    },
    async load(signal) {
      throwIfDown();
      if (simulatedEngine.hasFault('pause')) {
        await sleep(clock, PAUSED_RESPONSE_MS, signal);
      }
      return simulatedEngine.load();
    },
    async readCacheEvents(afterSequence) {
      throwIfDown();
      return simulatedEngine.cacheEvents(afterSequence);
    },
    async exportCache(attempt): Promise<CacheExport> {
      throwIfDown();
      const exportedCache = simulatedEngine.exportCache(attempt);
      if (exportedCache === undefined) {
        throw new ServingError(
          'not-found',
          'there is no KV cache to export: the attempt is not being decoded',
        );
      }
      return toCacheExport(exportedCache);
    },
    async importCache(exportSource, signal) {
      throwIfDown();
      const sourceEngine = resolveEngine(exportSource.url);
      const exportedCache = sourceEngine?.getExport(exportSource.handle);
      if (exportedCache === undefined || sourceEngine?.hasFault('down')) {
        throw new ServingError(
          'endpoint-failed',
          'cannot fetch the exported KV cache from the source engine',
        );
      }
      await sleep(clock, simulatedEngine.importDelayMs(exportedCache), signal);
      simulatedEngine.importCache(exportedCache);
      return toCacheExport(exportedCache);
    },
    async sendCommand(order) {
      throwIfDown();
      simulatedEngine.executeCommand(order);
    },
    async readRunningState() {
      throwIfDown();
      return simulatedEngine.running();
    },
  };
}

function toCacheExport(exportedCache: CacheExport): CacheExport {
  return {
    handle: exportedCache.handle,
    tokens: exportedCache.tokens,
    bytes: exportedCache.bytes,
  };
}
