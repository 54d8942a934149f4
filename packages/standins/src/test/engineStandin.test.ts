import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createHttpEngine,
  type GenerationRequest,
} from '@skylarkfield/endpoints';
import {
  generateAnswerTokens,
  startEngineStandin,
  type EngineFault,
} from '../index.js';

const fastCosts = {stepMs: 1, decodeMsPerSequence: 0, prefillMsPerToken: 0};

const generation: GenerationRequest = {
  attempt: 'a1',
  prompt: 'match this oak floor',
  maxTokens: 12,
  urgency: 3,
  delivered: [],
  seed: 3,
};

async function withEngine(
  faults: readonly EngineFault[],
  use: (
    engine: ReturnType<typeof createHttpEngine>,
    standin: Awaited<ReturnType<typeof startEngineStandin>>,
  ) => Promise<void>,
) {
  const standin = await startEngineStandin({
    port: 0,
    host: '127.0.0.1',
    service: 'match',
    version: 'v1',
    costs: fastCosts,
    faults,
  });
  const engine = createHttpEngine({url: standin.url, callTimeoutMs: 500});
  try {
    await use(engine, standin);
  } finally {
    engine.dispose();
    await standin.stop();
  }
}

async function read(engine: ReturnType<typeof createHttpEngine>) {
  const texts: string[] = [];
  const signal = new AbortController().signal;
  for await (const event of engine.generate(generation, signal)) {
    if (event.type === 'token') {
      texts.push(event.text);
    }
  }
  return texts;
}

describe('engine over HTTP', () => {
  it('streams the complete answer', async () => {
    await withEngine([], async engine => {
      assert.deepEqual(
        await read(engine),
        generateAnswerTokens(generation.prompt, generation.seed, 12),
      );
    });
  });

  it('serves load, cache events, orders and the running version', async () => {
    await withEngine([], async engine => {
      assert.equal((await engine.load()).running, 0);
      assert.equal((await engine.cacheEvents(-1)).length, 2);
      await engine.order({
        id: 'o1',
        type: 'load-version',
        target: 'v2',
        fencing: 1,
        expiresAt: Date.now() + 60_000,
      });
      assert.equal((await engine.running()).version, 'v2');
    });
  });

  // The engine process is down, fails or cuts the stream. The error may be
  // `not-run` only if nothing was sent; otherwise the engine may have worked on
  // the request.
  const cases: [string, EngineFault, string, string][] = [
    ['is down', {type: 'down'}, 'endpoint-unavailable', 'not-run'],
    ['fails', {type: 'fail'}, 'endpoint-failed', 'may-have-run'],
    [
      'cuts the stream',
      {type: 'cut', amount: 3},
      'interrupted',
      'may-have-run',
    ],
  ];
  for (const [name, fault, kind, run] of cases) {
    it(`reports the kind and whether it ran when the engine ${name}`, async () => {
      await withEngine([fault], async engine => {
        await assert.rejects(read(engine), {kind, run});
      });
    });
  }

  it('listens on the same port again after being down', async () => {
    await withEngine([{type: 'down'}], async (engine, standin) => {
      await assert.rejects(read(engine), {kind: 'endpoint-unavailable'});
      await standin.setFaults([]);
      assert.equal((await read(engine)).length, 12);
    });
  });

  it('transfers a KV cache from one engine to another', async () => {
    await withEngine([], async (source, sourceStandin) => {
      await withEngine([], async target => {
        const signal = new AbortController().signal;
        const long = {...generation, attempt: 'long', maxTokens: 100};
        for await (const event of source.generate(long, signal)) {
          if (event.type !== 'token') {
            continue;
          }
          const exported = await source.exportCache('long');
          const from = {url: sourceStandin.url, handle: exported.handle};
          const imported = await target.importCache(from);
          assert.deepEqual(imported, exported);
          break;
        }
      });
    });
  });
});
