import assert from 'node:assert/strict';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {createAdmission} from '@skylarkfield/admission';
import {
  decisionLog,
  seededRandom,
  silentLogger,
  systemClock,
} from '@skylarkfield/base';
import {createEngineModel, engineFigures} from '@skylarkfield/capacity';
import {createCrashSuspects, createRouter} from '@skylarkfield/routing';
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
  sendHeaders: (_, {lastEventId}) => [
    'attempt',
    'r1',
    ...(lastEventId === undefined ? [] : ['last-event', lastEventId]),
  ],
  readReply: headers => ({
    attemptId: headers['attempt'] as string | undefined,
    isNotRun: headers['not-run'] !== undefined,
    load: undefined,
    limitPerSecond: undefined,
  }),
  replyHeaders: () => ({}),
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
/** Moves no stream. */
const noMoves: StreamMigrator = {
  watch: () => ({
    isStopRequested: () => false,
    continuation: async () => undefined,
    dispose: () => {},
  }),
};

/** Moves the first attempt's stream to another endpoint. */
function movesOnce(): StreamMigrator {
  let isFirst = true;
  return {
    watch({choose}) {
      const isMoved = isFirst;
      isFirst = false;
      return {
        isStopRequested: () => isMoved,
        async continuation() {
          const choice = isMoved ? choose() : undefined;
          const memory = {source: '10.0.0.1:1', handle: 'h'};
          return choice && {choice, memory};
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
  /** The caller saw the answer break off. */
  readonly isBroken: boolean;
  /** Requests that reached endpoints. */
  readonly arrivals: number;
  readonly lastEventIds: readonly (string | undefined)[];
  readonly result: ForwardingResult;
}

const ENDPOINTS = 3;

/** Sends one request through the forwarding; the endpoints it reaches behave in turn. */
async function forwardTo(
  route: Route,
  behaviours: readonly Behaviour[],
  moves: StreamMigrator = noMoves,
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
  const admission = createAdmission({clock, random, decisions});
  admission.setService('s', {
    name: 's',
    concurrency: 10,
    queue: 10,
    targetMs: 100,
  });
  const upstreams = createUpstreams();
  const forwarding = createForwarding({
    router,
    limits: {note: () => {}},
    suspects: createCrashSuspects({
      clock,
      self: 'x',
      decisions,
      wallMs: () => clock.wall(),
    }),
    directory: {get: id => registered.get(id)} as EndpointDirectory,
    admission,
    upstreams,
    migrator: moves,
    engines: createEngineObserver({
      model: createEngineModel(clock),
      clock,
      figures: () => engineFigures(undefined, []),
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
    const gone = new AbortController();
    response.once('close', () => gone.abort());
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
          signal: gone.signal,
        },
        reply,
      )
      .then(ended => (result = ended));
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  const seen = await ask(port);
  while (result === undefined) {
    await new Promise(resolve => setImmediate(resolve));
  }
  upstreams.dispose();
  server.close();
  endpoints.forEach(endpoint => endpoint.close());
  const arrivals = endpoints.flatMap(endpoint => endpoint.arrivals);
  return {
    ...seen,
    arrivals: arrivals.length,
    lastEventIds: arrivals.map(({lastEventId}) => lastEventId),
    result,
  };
}

function ask(port: number) {
  return new Promise<Omit<Outcome, 'arrivals' | 'result' | 'lastEventIds'>>(
    resolve => {
      const request = http.get(
        {port, host: '127.0.0.1', agent: false},
        reply => {
          let body = '';
          const end = (isBroken: boolean) =>
            resolve({
              status: reply.statusCode ?? 0,
              body,
              retryAfter: reply.headers['retry-after'],
              isBroken,
            });
          reply.on('data', chunk => (body += chunk));
          reply.on('end', () => end(false));
          reply.on('error', () => end(true));
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
  it('never sends an order again that may have run', async () => {
    // The endpoint has read the order and its connection is reset. Sent to
    // another endpoint, it would be carried out twice: two parcels for a shop.
    const outcome = await forwardTo(order, [resets, answers('done')]);
    assert.equal(outcome.status, 502);
    assert.equal(outcome.retryAfter, undefined);
    assert.equal(outcome.arrivals, 1);
  });

  it('lets a request run on no more endpoints than its route allows', async () => {
    const outcome = await forwardTo(plain, [resets, resets, answers('late')]);
    assert.equal(outcome.arrivals, 2);
    assert.equal(outcome.status, 502);
  });

  it('tells when a request was first sent, whatever came of that send', async () => {
    const before = systemClock().now();
    const {result} = await forwardTo(plain, [resets, answers('ok')]);
    const at = result.firstSendAt ?? NaN;
    assert.ok(at >= before && at <= systemClock().now());
    assert.ok((result.firstMs ?? NaN) >= 0);
  });

  it('gives the answer of the second endpoint when the first one fails', async () => {
    const outcome = await forwardTo(plain, [resets, answers('ok')]);
    assert.equal(outcome.status, 200);
    assert.equal(outcome.body, 'ok');
  });

  it('sends an order on that an endpoint has declined', async () => {
    const outcome = await forwardTo(order, [declines, answers('done')]);
    assert.equal(outcome.status, 200);
    assert.equal(outcome.body, 'done');
  });

  it('says that an order was not run only when every endpoint has declined it', async () => {
    // A caller repeats an order after this status, so it must be true.
    const declined = await forwardTo(order, [declines]);
    assert.ok([429, 503].includes(declined.status), `${declined.status}`);
    assert.ok(declined.retryAfter !== undefined);
    const reset = await forwardTo(order, [declines, resets]);
    assert.equal(reset.status, 502);
  });

  it('passes no answer on that names another request', async () => {
    // An endpoint answers an earlier request once more, on the connection that
    // now carries another caller's. It holds somebody else's data.
    const outcome = await forwardTo(order, [answers('secret', 200, 'other')]);
    assert.equal(outcome.status, 502);
    assert.ok(!outcome.body.includes('secret'));
  });

  it("passes an endpoint's own failure on unchanged", async () => {
    const outcome = await forwardTo(order, [answers('no', 500)]);
    assert.equal(outcome.status, 500);
    assert.equal(outcome.body, 'no');
    assert.equal(outcome.arrivals, 1);
  });

  it('goes on with a resumable stream after the last event delivered', async () => {
    // The endpoint is reclaimed in the middle of an event, and the next one
    // repeats what the caller has. The caller must see each event once.
    const outcome = await forwardTo(resumable, [
      streams(1, 3, 'cut'),
      streams(2, 6, 'whole'),
    ]);
    assert.deepEqual([...outcome.lastEventIds].sort(), ['3', undefined]);
    assert.equal(outcome.body, events(1, 6));
    assert.equal(outcome.isBroken, false);
  });

  it('does not let a stream that broke off look complete', async () => {
    const outcome = await forwardTo(stream, [streams(1, 3, 'cut')]);
    assert.equal(outcome.body, events(1, 3));
    assert.ok(outcome.isBroken);
    assert.equal(outcome.arrivals, 1);
  });

  it('goes on with a moved stream at its new endpoint', async () => {
    const outcome = await forwardTo(
      stream,
      [streams(1, 3, 'cut'), streams(4, 6, 'whole')],
      movesOnce(),
    );
    assert.equal(outcome.body, events(1, 6));
    assert.equal(outcome.isBroken, false);
  });

  it('breaks a moved stream off when its new endpoint declines it', async () => {
    // The endpoint with the copied memory crashes before the stream goes on, and
    // another process answers at its address. Sent to a third endpoint the
    // request would run from its start once more, and its caller would get two
    // answers joined.
    const outcome = await forwardTo(
      stream,
      [streams(1, 3, 'cut'), declines, streams(1, 6, 'whole')],
      movesOnce(),
    );
    assert.equal(outcome.body, events(1, 3));
    assert.ok(outcome.isBroken);
    assert.equal(outcome.arrivals, 2);
  });
});
