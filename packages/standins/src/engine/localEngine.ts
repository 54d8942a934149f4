/** An engine model behind the `Engine` contract in the same process, for benches and tests. */
import {ServingError, sleep, type Clock} from '@skylarkfield/base';
import {
  createEventQueue,
  type CacheExport,
  type Engine,
  type Generation,
  type GenerationEvent,
} from '@skylarkfield/endpoints';
import type {EngineModel} from './engineModel.js';

/** What a paused engine takes to answer. */
const NEVER_MS = 1e9;

export interface LocalEngineOptions {
  readonly clock: Clock;
  readonly model: EngineModel;
  /** Finds the model behind a URL, to fetch exported KV cache from. */
  resolve(url: string): EngineModel | undefined;
}

/**
 * Makes an engine that calls the model directly.
 *
 * @example
 * const engine = createLocalEngine({clock, model, resolve: url => models.get(url)});
 */
export function createLocalEngine(options: LocalEngineOptions): Engine {
  const {clock, model, resolve} = options;

  function assertUp() {
    if (model.hasFault('down')) {
      throw new ServingError('endpoint-unavailable', 'connection refused');
    }
  }

  async function* generate(
    request: Generation,
    signal: AbortSignal,
  ): AsyncGenerator<GenerationEvent> {
    assertUp();
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
      assertUp();
      model.cancel(attempt);
    },
    async load(signal) {
      assertUp();
      if (model.hasFault('pause')) {
        await sleep(clock, NEVER_MS, signal);
      }
      return model.load();
    },
    async cacheEvents(after) {
      assertUp();
      return model.cacheEvents(after);
    },
    async exportCache(attempt): Promise<CacheExport> {
      assertUp();
      const exported = model.exportCache(attempt);
      if (exported === undefined) {
        throw new ServingError('not-found', 'nothing to export');
      }
      return summary(exported);
    },
    async importCache(from, signal) {
      assertUp();
      const source = resolve(from.url);
      const exported = source?.exported(from.handle);
      if (exported === undefined || source?.hasFault('down')) {
        throw new ServingError('endpoint-failed', 'the export is out of reach');
      }
      await sleep(clock, model.importDelayMs(exported), signal);
      model.importCache(exported);
      return summary(exported);
    },
    async order(order) {
      assertUp();
      model.order(order);
    },
    async running() {
      assertUp();
      return model.running();
    },
  };
}

function summary(cache: CacheExport): CacheExport {
  return {handle: cache.handle, tokens: cache.tokens, bytes: cache.bytes};
}
