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

async function readAnswer(engine: ReturnType<typeof createHttpEngine>) {
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
        await readAnswer(engine),
        generateAnswerTokens(generation.prompt, generation.seed, 12),
      );
    });
  });

  it('reports load and cache events, and applies an order to load a version', async () => {
    await withEngine([], async engine => {
      assert.equal((await engine.load()).running, 0);
      assert.equal((await engine.readCacheEvents(-1)).length, 2);
      await engine.sendCommand({
        id: 'o1',
        type: 'load-version',
        target: 'v2',
        fencing: 1,
        expiresAt: Date.now() + 60_000,
      });
      assert.equal((await engine.readRunningState()).version, 'v2');
    });
  });

  // The engine process is down, fails or cuts the stream. The client may report
  // `not-run` only if it sent nothing: an engine that received the request may
  // have worked on the answer.
  const faultCases: [string, EngineFault, string, string][] = [
    ['is down', {type: 'down'}, 'endpoint-unavailable', 'not-run'],
    ['fails', {type: 'fail'}, 'endpoint-failed', 'may-have-run'],
    [
      'cuts the stream',
      {type: 'cut', amount: 3},
      'interrupted',
      'may-have-run',
    ],
  ];
  for (const [failure, fault, kind, run] of faultCases) {
    it(`reports whether the request may have run when the engine ${failure}`, async () => {
      await withEngine([fault], async engine => {
        await assert.rejects(readAnswer(engine), {kind, run});
      });
    });
  }

  it('listens on the same port again after the fault `down` is removed', async () => {
    await withEngine([{type: 'down'}], async (engine, standin) => {
      await assert.rejects(readAnswer(engine), {kind: 'endpoint-unavailable'});
      await standin.setFaults([]);
      assert.equal((await readAnswer(engine)).length, 12);
    });
  });

  it('transfers a KV cache from one engine to another', async () => {
    await withEngine([], async (sourceEngine, sourceStandin) => {
      await withEngine([], async targetEngine => {
        const signal = new AbortController().signal;
        const longGeneration = {...generation, attempt: 'long', maxTokens: 100};
        for await (const event of sourceEngine.generate(
          longGeneration,
          signal,
        )) {
          if (event.type !== 'token') {
            continue;
          }
          const exported = await sourceEngine.exportCache('long');
          const exportSource = {
            url: sourceStandin.url,
            handle: exported.handle,
          };
          const imported = await targetEngine.importCache(exportSource);
          assert.deepEqual(imported, exported);
          break;
        }
      });
    });
  });
});
