import assert from 'node:assert/strict';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {createAdmissionController} from '@skylarkfield/admission';
import {
  decisionLog,
  seededRandom,
  silentLogger,
  systemClock,
} from '@skylarkfield/base';
import {createEngineModel, estimateEngine} from '@skylarkfield/capacity';
import {createCrashQuarantine, createRouter} from '@skylarkfield/routing';
import type {RegisteredEndpoint, Route} from '@skylarkfield/traffic';
import {createCallerReply} from '../callerReply.js';
import type {CallFormat} from '../contracts.js';
import type {EndpointDirectory} from '../endpointDirectory.js';
import {createEngineObserver} from '../engineObserver.js';
import {createForwarding, type ForwardingResult} from '../forwarding.js';
import type {StreamMigrator} from '../streamMigration.js';
import {createUpstreams} from '../upstream.js';
import {
  answers,
  declines,
  inTurn,
  resets,
  startTestEndpoint,
  streams,
  type Behaviour,
} from './testEndpoint.js';

const format: CallFormat = {
  readCall: () => {
    throw new Error('not used here');
  },
  upstreamHeaders: (_, {lastEventId}) => [
    'attempt',
    'r1',
    ...(lastEventId === undefined ? [] : ['last-event', lastEventId]),
  ],
  readResponse: headers => ({
    attemptId: headers['attempt'] as string | undefined,
    isNotRun: headers['not-run'] !== undefined,
    load: undefined,
    limitPerSecond: undefined,
  }),
  callerHeaders: () => ({}),
};

const plain: Route = {
  name: 'route',
  authority: 'a',
  pathPrefix: '/',
  kind: 'idempotent',
  timeoutMs: 5_000,
  goalMs: 100,
  priority: 0,
  services: [{service: 's', weight: 1}],
  attempts: 2,
  isPublic: true,
  isResumable: false,
  longestPauseMs: 0,
};
/** Migrates no stream. */
const noMigration: StreamMigrator = {
  watch: () => ({
    isStopRequested: () => false,
    continuation: async () => undefined,
    dispose: () => {},
  }),
};

/** Migrates the first attempt's stream to another endpoint. */
function migratesOnce(): StreamMigrator {
  let isFirst = true;
  return {
    watch({choose}) {
      const isMigrated = isFirst;
      isFirst = false;
      return {
        isStopRequested: () => isMigrated,
        async continuation() {
          const choice = isMigrated ? choose() : undefined;
          const kvCache = {source: '10.0.0.1:1', handle: 'h'};
          return choice && {choice, kvCache};
        },
        dispose: () => {},
      };
    },
  };
}

const order: Route = {...plain, kind: 'at-most-once', attempts: 1};
const stream: Route = {...plain, kind: 'streaming', attempts: 1};
const resumable: Route = {...stream, isResumable: true, attempts: 2};

interface Outcome {
  readonly status: number;
  readonly body: string;
  readonly retryAfter: string | undefined;
  /** Whether the caller received an incomplete response. */
  readonly isBroken: boolean;
  /** Number of requests that reached endpoints. */
  readonly arrivals: number;
  readonly lastEventIds: readonly (string | undefined)[];
  readonly result: ForwardingResult;
}

const ENDPOINTS = 3;

/** Forwards one request to endpoints that run the behaviours in turn. */
async function forwardTo(
  route: Route,
  behaviours: readonly Behaviour[],
  streamMigrator: StreamMigrator = noMigration,
): Promise<Outcome> {
  const clock = systemClock();
  const log = silentLogger();
  const random = seededRandom(1);
  const decisions = decisionLog(clock, log);
  const behaviour = inTurn(behaviours);
  const endpoints = await Promise.all(
    Array.from({length: ENDPOINTS}, () => startTestEndpoint(behaviour)),
  );
  const registered = new Map<string, RegisteredEndpoint>(
    endpoints.map(({address}, index) => [
      `e${index}`,
      {
        id: `e${index}`,
        bornAt: 0,
        service: 's',
        address,
        failureDomain: 'a',
        version: 'v1',
        slots: 4,
        state: 'ready',
        isReclaimable: false,
      },
    ]),
  );
  const router = createRouter({
    clock,
    random,
    decisions,
    failureDomain: 'a',
    self: 'x',
  });
  router.setEndpoints(
    [...registered.values()].map(({id, address}) => ({
      id,
      service: 's',
      version: 'incumbent',
      failureDomain: 'a',
      host: address,
      type: 'plain',
    })),
  );
  const admission = createAdmissionController({clock, random, decisions});
  admission.setService('s', {
    name: 's',
    concurrency: 10,
    queue: 10,
    targetMs: 100,
  });
  const upstreams = createUpstreams();
  const forwarding = createForwarding({
    router,
    rateLimits: {recordLimit: () => {}},
    crashQuarantine: createCrashQuarantine({
      clock,
      self: 'x',
      decisions,
      wallMs: () => clock.wall(),
    }),
    directory: {get: id => registered.get(id)} as EndpointDirectory,
    admission,
    upstreams,
    migrator: streamMigrator,
    engineObserver: createEngineObserver({
      model: createEngineModel(clock),
      clock,
      estimateFor: () => estimateEngine(undefined, []),
      tokensPerEvent: () => 1,
      fits: () => true,
      onDidReread: () => {},
    }),
    format,
    clock,
    log,
    onDidRun: () => {},
  });
  let result: ForwardingResult | undefined;
  const server = http.createServer((request, response) => {
    const disconnected = new AbortController();
    response.once('close', () => disconnected.abort());
    const reply = createCallerReply({
      response,
      format,
      isClosing: () => false,
    });
    void forwarding
      .forward(
        {
          head: {
            attemptId: 'r1',
            authority: 'a',
            key: undefined,
            timeoutMs: undefined,
            demand: undefined,
            lastEventId: undefined,
          },
          attemptId: 'r1',
          route,
          service: 's',
          version: 'incumbent',
          customer: undefined,
          urgency: undefined,
          method: 'GET',
          path: '/',
          rawHeaders: [],
          body: undefined,
          fingerprint: () => 'f1',
          promptKeys: [],
          deadlineAt: clock.now() + 5_000,
          signal: disconnected.signal,
        },
        reply,
      )
      .then(ended => (result = ended));
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  const callerResponse = await sendRequest(port);
  while (result === undefined) {
    await new Promise(resolve => setImmediate(resolve));
  }
  upstreams.dispose();
  server.close();
  endpoints.forEach(endpoint => endpoint.close());
  const arrivals = endpoints.flatMap(endpoint => endpoint.arrivals);
  return {
    ...callerResponse,
    arrivals: arrivals.length,
    lastEventIds: arrivals.map(({lastEventId}) => lastEventId),
    result,
  };
}

function sendRequest(port: number) {
  return new Promise<Omit<Outcome, 'arrivals' | 'result' | 'lastEventIds'>>(
    resolve => {
      const request = http.get(
        {port, host: '127.0.0.1', agent: false},
        response => {
          let body = '';
          const end = (isBroken: boolean) =>
            resolve({
              status: response.statusCode ?? 0,
              body,
              retryAfter: response.headers['retry-after'],
              isBroken,
            });
          response.on('data', chunk => (body += chunk));
          response.on('end', () => end(false));
          response.on('error', () => end(true));
        },
      );
      request.on('error', () =>
        resolve({status: 0, body: '', retryAfter: undefined, isBroken: true}),
      );
    },
  );
}

function events(first: number, last: number): string {
  return Array.from(
    {length: last - first + 1},
    (_, index) => `id: ${first + index}\ndata: ${first + index}\n\n`,
  ).join('');
}

describe('forwarding', () => {
  it('does not retry an order that may have run', async () => {
    // The endpoint has read the order when its connection is reset. A retry
    // would execute the order twice.
    const outcome = await forwardTo(order, [resets, answers('done')]);
    assert.equal(outcome.status, 502);
    assert.equal(outcome.retryAfter, undefined);
    assert.equal(outcome.arrivals, 1);
  });

  it('limits the runs of a request to the attempts of its route', async () => {
    const outcome = await forwardTo(plain, [resets, resets, answers('late')]);
    assert.equal(outcome.arrivals, 2);
    assert.equal(outcome.status, 502);
  });

  it('records the time of the first send even if that attempt fails', async () => {
    const before = systemClock().now();
    const {result} = await forwardTo(plain, [resets, answers('ok')]);
    const at = result.firstSendAt ?? NaN;
    assert.ok(at >= before && at <= systemClock().now());
    assert.ok((result.firstMs ?? NaN) >= 0);
  });

  it('returns the response of the second endpoint if the first one fails', async () => {
    const outcome = await forwardTo(plain, [resets, answers('ok')]);
    assert.equal(outcome.status, 200);
    assert.equal(outcome.body, 'ok');
  });

  it('sends a declined order to another endpoint', async () => {
    const outcome = await forwardTo(order, [declines, answers('done')]);
    assert.equal(outcome.status, 200);
    assert.equal(outcome.body, 'done');
  });

  it('reports an order as not run only if every endpoint declined it', async () => {
    // Callers retry an order reported as not run, so this must be accurate.
    const declined = await forwardTo(order, [declines]);
    assert.ok([429, 503].includes(declined.status), `${declined.status}`);
    assert.ok(declined.retryAfter !== undefined);
    const reset = await forwardTo(order, [declines, resets]);
    assert.equal(reset.status, 502);
  });

  it('drops a response with the id of another request', async () => {
    // An endpoint repeats its response to an earlier request on a connection
    // that now carries another caller's request. The response contains the
    // first caller's data.
    const outcome = await forwardTo(order, [answers('secret', 200, 'other')]);
    assert.equal(outcome.status, 502);
    assert.ok(!outcome.body.includes('secret'));
  });

  it("passes on an endpoint's own error unchanged", async () => {
    const outcome = await forwardTo(order, [answers('no', 500)]);
    assert.equal(outcome.status, 500);
    assert.equal(outcome.body, 'no');
    assert.equal(outcome.arrivals, 1);
  });

  it('resumes a stream after the last delivered event', async () => {
    // The endpoint is reclaimed in the middle of an event, and the next one
    // repeats events. The caller must receive each event once.
    const outcome = await forwardTo(resumable, [
      streams(1, 3, 'cut'),
      streams(2, 6, 'whole'),
    ]);
    assert.deepEqual([...outcome.lastEventIds].sort(), ['3', undefined]);
    assert.equal(outcome.body, events(1, 6));
    assert.equal(outcome.isBroken, false);
  });

  it('does not end an interrupted stream as if it were complete', async () => {
    const outcome = await forwardTo(stream, [streams(1, 3, 'cut')]);
    assert.equal(outcome.body, events(1, 3));
    assert.ok(outcome.isBroken);
    assert.equal(outcome.arrivals, 1);
  });

  it('continues a migrated stream at its new endpoint', async () => {
    const outcome = await forwardTo(
      stream,
      [streams(1, 3, 'cut'), streams(4, 6, 'whole')],
      migratesOnce(),
    );
    assert.equal(outcome.body, events(1, 6));
    assert.equal(outcome.isBroken, false);
  });

  it('aborts a migrated stream if its new endpoint declines it', async () => {
    // The endpoint with the copied KV cache crashes before the stream resumes,
    // and another process responds at its address. A third endpoint would run
    // the request from its start, and the caller would receive two responses
    // joined.
    const outcome = await forwardTo(
      stream,
      [streams(1, 3, 'cut'), declines, streams(1, 6, 'whole')],
      migratesOnce(),
    );
    assert.equal(outcome.body, events(1, 3));
    assert.ok(outcome.isBroken);
    assert.equal(outcome.arrivals, 2);
  });
});
