import assert from 'node:assert/strict';
import http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {
  createDrainGuard,
  createInFlightCounter,
  createProcessLifecycle,
  createSilentLogger,
  seededRandom,
  systemClock,
} from '@skylarkfield/base';
import type {Member} from '@skylarkfield/members';
import {encodeFrame} from '@skylarkfield/protocol';
import type {Route} from '@skylarkfield/traffic';
import type {EventSink} from '../../attempts/attemptResult.js';
import {createAttemptRace} from '../../attempts/attemptRace.js';
import type {CallerReply} from '../../callers/callerReply.js';
import {createRequestBodies} from '../../callers/requestBodies.js';
import type {CallFormat} from '../../contracts.js';
import type {ForwardedCall} from '../../forwarding/forwardedCall.js';
import {createHandoverHandler} from '../handoverHandler.js';
import {createHandovers} from '../handovers.js';
import {createProgress} from '../../forwarding/retryRules.js';
import {createUpstreams} from '../../attempts/upstream.js';

/** Memory of the machine, in megabytes. */
const MACHINE_MB = 350;

const TIMEOUT_MS = 5_000;

/** Headers that describe one connection, as the platform's codec drops them. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'content-length',
]);

const format = {
  parseResponseHead: headers => ({
    attemptId: headers['attempt'] as string | undefined,
    isNotRun: false,
    isSigned: true,
    isMisdirected: false,
    load: undefined,
    limitPerSecond: undefined,
    rejectionsPerSecond: undefined,
    isLeaving: false,
    restMs: undefined,
  }),
  selectForwardedHeaders: rawHeaders => [...rawHeaders],
  buildCallerHeaders: headers =>
    Object.fromEntries(
      Object.entries(headers).filter(([name]) => !CONNECTION_HEADERS.has(name)),
    ),
} as Partial<CallFormat> as CallFormat;

const ENDPOINT_HEADERS = {attempt: 'r1'};
const WHOLE = Buffer.from('whole');
/** More than the buffers of a connection hold. */
const MANY_BYTES = 64 * 1024 * 1024;
const EVENTS = 'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n';

/** Runs a handed-over request, whose response is sent over the socket. */
type Run = (reply: CallerReply, socket: Socket) => void;

function writeEvents({sink}: CallerReply): void {
  sink.begin({status: 200, headers: ENDPOINT_HEADERS});
  for (const event of EVENTS.split(/(?<=\n\n)/)) {
    sink.write({bytes: Buffer.from(event), id: undefined});
  }
}

const finishStream: Run = reply => {
  writeEvents(reply);
  reply.sink.finish(Buffer.alloc(0));
};

const killInStream: Run = (reply, socket) => {
  writeEvents(reply);
  socket.end();
};

function answerInOnePiece(body: Buffer): Run {
  return reply =>
    reply.sendResponse({
      status: 200,
      headers: ENDPOINT_HEADERS,
      body,
      end: {framing: 'close', remainderBytes: 0},
    });
}

/** Closes the connection before its kernel has taken over the whole answer. */
const killInOnePiece: Run = (reply, socket) => {
  answerInOnePiece(Buffer.alloc(MANY_BYTES))(reply, socket);
  setImmediate(() => socket.destroy());
};

describe('answers between entries', {timeout: 30_000}, () => {
  const disposals: (() => void)[] = [];
  /** Requests that a receiver took over. */
  const handedOverCalls: ForwardedCall[] = [];

  afterEach(() => disposals.splice(0).forEach(dispose => dispose()));

  async function listen(listener: http.RequestListener): Promise<number> {
    const server = http.createServer(listener);
    disposals.push(() => {
      server.close();
      server.closeAllConnections();
    });
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return (server.address() as AddressInfo).port;
  }

  /** Starts an entry that takes requests over; returns its port. */
  function startReceiver(run: Run): Promise<number> {
    const clock = systemClock();
    let lastSocket: Socket | undefined;
    const handler = createHandoverHandler({
      forwarding: {
        async forward(call, reply) {
          handedOverCalls.push(call);
          run(reply, lastSocket!);
          return {status: 200, firstByteMs: 0, endpoints: [], error: undefined};
        },
      },
      reach: {isLost: () => false},
      departures: {report: () => ({})},
      format,
      inFlight: createInFlightCounter(clock),
      requestBodies: createRequestBodies(MACHINE_MB, clock),
      cores: 1,
      clock,
      log: createSilentLogger(),
      drainGuard: createDrainGuard(createProcessLifecycle(), 0),
      isServing: () => true,
      onDidConclude() {},
    });
    return listen((request, response) => {
      lastSocket = request.socket;
      handler(request, response);
    });
  }

  /** Starts an entry of an earlier release, which marks no ends. */
  function startEarlierReceiver(body: string): Promise<number> {
    return listen((request, response) => {
      request.resume();
      response.removeHeader('transfer-encoding');
      response.writeHead(200, {...ENDPOINT_HEADERS, connection: 'close'});
      response.end(body);
    });
  }

  /** Hands a request over; returns its result and what its caller gets. */
  async function handOver(
    port: number,
    kind: 'streaming' | 'idempotent',
    runCount = 0,
  ) {
    const clock = systemClock();
    const peerUpstreams = createUpstreams();
    disposals.push(() => peerUpstreams.dispose());
    const handovers = createHandovers({
      self: 'sender',
      failureDomain: 'a',
      liveMembers: () => [],
      peerUpstreams,
      key: 'k',
      retryRules: {stallTimeoutMs: () => undefined} as never,
      bodyMemory: createRequestBodies(MACHINE_MB, clock).memory,
      departures: {mergeReport() {}},
      format,
      clock,
      random: seededRandom(1),
    });
    const begun: Parameters<EventSink['begin']>[0][] = [];
    let body = '';
    const sink: EventSink = {
      hasBegun: () => begun.length > 0,
      begin: head => void begun.push(head),
      write({bytes}) {
        body += bytes.toString();
        return true;
      },
      whenDrained() {},
      lastEventId: () => undefined,
      finish() {},
    };
    const result = await handovers.run(
      {
        head: {attemptId: 'r1', authority: 'a'},
        attemptId: 'r1',
        route: {name: 'r', kind, attempts: 1} as Route,
        service: 's',
        version: 'incumbent',
        method: 'GET',
        path: '/',
        rawHeaders: [],
        deadlineAt: clock.now() + TIMEOUT_MS,
        signal: new AbortController().signal,
      } as unknown as ForwardedCall,
      {lastEventId: () => undefined, sink} as unknown as CallerReply,
      {...createProgress(clock.now()), runCount},
      {id: 'receiver', innerUrl: `ws://127.0.0.1:${port}`} as Member,
      {race: createAttemptRace().enter(), onDidStall() {}},
    );
    return {result, body, head: begun[0]};
  }

  // Guards against streams that look complete because the entry that ran them was killed.
  it('are broken off if their entry is killed', async () => {
    const port = await startReceiver(killInStream);
    const {result, body} = await handOver(port, 'streaming');
    assert.equal(body, EVENTS);
    assert.equal(result.type, 'failed');
  });

  it('end with a mark if their entry has received the whole stream', async () => {
    const port = await startReceiver(finishStream);
    const {result, body} = await handOver(port, 'streaming');
    assert.equal(body, EVENTS);
    assert.deepEqual(result, {
      type: 'streamed',
      end: {framing: 'chunks', remainderBytes: 0},
    });
  });

  // Guards against begun streams that are lost since the entry that takes them over may reject them.
  it('are asked for with the statement whether the request has run', async () => {
    const port = await startReceiver(finishStream);
    for (const runCount of [0, 1]) {
      await handOver(port, 'streaming', runCount);
      const {handover} = handedOverCalls.at(-1)!;
      assert.equal(handover?.hasRun, runCount > 0);
    }
  });

  it('in one piece end with their length', async () => {
    const port = await startReceiver(answerInOnePiece(WHOLE));
    const {result} = await handOver(port, 'idempotent');
    assert.equal(result.type, 'answered');
    assert.equal(result.body.toString(), 'whole');
    assert.deepEqual(result.end, {framing: 'length', remainderBytes: 0});
  });

  // Guards against answers in one piece that look complete because the entry that sent them was killed.
  it('in one piece are broken off if their entry is killed', async () => {
    const port = await startReceiver(killInOnePiece);
    const {result} = await handOver(port, 'idempotent');
    assert.equal(result.type, 'failed');
  });

  for (const [kind, text] of [
    ['streaming', EVENTS],
    ['idempotent', 'whole'],
  ] as const) {
    // Guards against answers that look complete because an entry of an earlier release was killed.
    it(`of an earlier release are not complete without a marked end, ${kind}`, async () => {
      const port = await startEarlierReceiver(text);
      const {result} = await handOver(port, kind);
      assert.equal(result.type, 'failed');
      assert.equal(result.error.run, 'may-have-run');
    });
  }

  for (const [name, run, mark] of [
    ['streams', finishStream, 'transfer-encoding'],
    ['answers in one piece', answerInOnePiece(WHOLE), 'content-length'],
  ] as const) {
    // Guards against entries of an earlier release that take the end of this entry for that of the answer.
    it(`mark the end of ${name} for an earlier release`, async () => {
      const port = await startReceiver(run);
      const response = await new Promise<http.IncomingMessage>(resolve => {
        http
          .request(
            {port, host: '127.0.0.1', method: 'POST', agent: false},
            resolve,
          )
          .end(
            encodeFrame({
              type: 'handover',
              requestId: 0,
              body: {
                attemptId: 'r1',
                route: {kind: 'streaming'},
                service: 's',
                remainingMs: TIMEOUT_MS,
              } as never,
            }),
          );
      });
      response.resume();
      assert.equal(response.statusCode, 200);
      assert.notEqual(response.headers[mark], undefined);
    });
  }
});
