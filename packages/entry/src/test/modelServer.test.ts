import assert from 'node:assert/strict';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {describe, it} from 'node:test';
import {
  createDrainGuard,
  createProcessLifecycle,
  ServingError,
  createVirtualClock,
} from '@skylarkfield/base';
import type {Engine, GenerationEvent} from '@skylarkfield/endpoints';
import type {RequestSample} from '@skylarkfield/moves';
import {createStreamRunner} from '@skylarkfield/streams';
import {createModelServer} from '../callers/modelServer.js';
import {parseCompletionRequest} from '../callers/modelRequest.js';

type Behaviour = 'ok' | 'refuse';

/**
 * Serves one request assigned to `v2`; returns the response body, or the error
 * kind and run state, and the recorded samples.
 */
async function serveOneRequest(
  endpoints: readonly {version: string; behaviour: Behaviour}[],
) {
  const clock = createVirtualClock();
  const samples: RequestSample[] = [];
  const pool = endpoints.map(({version, behaviour}, index) => ({
    listedEndpoint: {
      id: `e${index}`,
      service: 'match',
      version,
      url: 'http://e',
    },
    leavingSignal: new AbortController().signal,
    engine: createEngine(version, behaviour),
  }));
  const serving = {
    router: {
      cachedTokens: () => 0,
      rateLimitWaitMs: () => undefined,
      choose(routingRequest: {version: string; excluded: ReadonlySet<string>}) {
        const foundEndpoint = pool.find(
          ({listedEndpoint: {id, version}}) =>
            version === routingRequest.version &&
            !routingRequest.excluded.has(id),
        );
        return (
          foundEndpoint && {
            endpoint: foundEndpoint.listedEndpoint.id,
            cachedTokens: 0,
            recordStart() {},
            recordFirstToken() {},
            finish() {},
          }
        );
      },
    },
    endpointPool: {
      get: (id: string) =>
        pool.find(({listedEndpoint}) => listedEndpoint.id === id),
      list: () => pool,
    },
    streamRunner: createStreamRunner({clock}),
    trafficSplit: {
      versionFor: () => 'v2',
      incumbentFor: () => 'v1',
      recordSample: (sample: RequestSample) => samples.push(sample),
    },
    admission: {
      admit: () => Promise.resolve({waitedMs: 0, release() {}}),
      tryAcquireRetry: () => true,
      loadFraction: () => 0.1,
    },
  };
  const server = createModelServer({
    serving: serving as never,
    drainGuard: createDrainGuard(createProcessLifecycle(), 0),
    clock,
    limits: {bufferedBytes: 1000, stalledReaderMs: 1000} as never,
    metrics: {
      recordStart() {},
      recordEnd() {},
      recordFirstToken() {},
      recordRecomputedTokens() {},
    },
  });
  let body = '';
  const response = {
    writeHead: () => response,
    setHeader: () => response,
    end: (text: string) => (body += text),
  };
  const exchange = {
    id: 'r1',
    request: {headers: {}} as IncomingMessage,
    response: response as unknown as ServerResponse,
    customer: {name: 'chain', bestUrgency: 0} as never,
    signal: new AbortController().signal,
    arrivedAt: clock.now(),
  };
  const request = parseCompletionRequest(
    JSON.stringify({model: 'match', prompt: 'oak', max_tokens: 1}),
    's1',
  );
  const service = {name: 'match', version: 'v1', timeoutMs: 30_000} as never;
  const completion = server
    .serve(exchange, request, service, 'completion')
    .catch((error: ServingError) => (body = `${error.kind} ${error.run}`));
  await clock.advance(10_000);
  await completion;
  return {
    body,
    samples: samples.map(({version, isError}) => ({version, isError})),
  };
}

function createEngine(version: string, behaviour: Behaviour): Partial<Engine> {
  return {
    async *generate({attempt}): AsyncGenerator<GenerationEvent> {
      await Promise.resolve();
      if (behaviour === 'refuse') {
        throw new ServingError('endpoint-unavailable', 'refused');
      }
      const counts = {promptTokens: 1, cachedTokens: 0};
      yield {type: 'start', attempt, ...counts};
      yield {type: 'token', attempt, index: 0, text: `by ${version}`};
      yield {
        type: 'end',
        attempt,
        reason: 'length',
        generatedTokens: 1,
        ...counts,
      };
    },
    cancel: () => Promise.resolve(),
  };
}

describe('a model request assigned to a candidate version', () => {
  // The candidate's endpoints are listed but refuse connections. Without
  // fallback, requests assigned to the candidate would wait and be rejected.
  it('is served by the incumbent and counts as an error of an unreachable candidate', async () => {
    const {body, samples} = await serveOneRequest([
      {version: 'v1', behaviour: 'ok'},
      {version: 'v2', behaviour: 'refuse'},
    ]);
    assert.match(body, /by v1/);
    assert.deepEqual(samples, [{version: 'v2', isError: true}]);
  });

  it('is served by the incumbent and counts no error when the candidate has no endpoint', async () => {
    const {body, samples} = await serveOneRequest([
      {version: 'v1', behaviour: 'ok'},
    ]);
    assert.match(body, /by v1/);
    assert.deepEqual(samples, []);
  });

  it('is rejected as not run and counts as an error when no endpoint is reachable', async () => {
    const {body, samples} = await serveOneRequest([
      {version: 'v2', behaviour: 'refuse'},
    ]);
    assert.equal(body, 'endpoint-unavailable not-run');
    assert.deepEqual(samples, [{version: 'v2', isError: true}]);
  });
});
