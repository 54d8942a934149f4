/**
 * `handover`: time and processor time of a request that one entry hands over to
 * another, against one that it sends itself. Caller, entries and endpoint run in
 * this process over loopback sockets, so the difference of the processor times
 * is what both entries spend on the hop.
 */
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
  createDrainGuard,
  createInFlightCounter,
  createProcessLifecycle,
  createSilentLogger,
  seededRandom,
  systemClock,
} from '@skylarkfield/base';
import {
  createAttemptRace,
  createCallerReply,
  createHandoverHandler,
  createHandovers,
  createProgress,
  createRequestBodies,
  createUpstreams,
  runAttempt,
  type CallFormat,
  type CallerReply,
  type ForwardedCall,
  type ForwardingResult,
  type RetryRules,
} from '@skylarkfield/gateway';
import type {Member} from '@skylarkfield/members';
import {createPeerNetwork} from '@skylarkfield/protocol';
import type {MeasureOptions} from './measurements.js';

/** Memory of the machine, in megabytes. */
const MACHINE_MB = 350;

type RequestKind = 'plain' | 'stream';
type Way = 'direct' | 'handed over';

interface HandoverResult {
  readonly kind: RequestKind;
  readonly way: Way;
  readonly requests: number;
  readonly firstByteP50Ms: number;
  readonly firstByteP99Ms: number;
  readonly wholeP50Ms: number;
  readonly wholeP99Ms: number;
  /** Processor time of all roles per request, in milliseconds. */
  readonly processorMs: number;
}

const REQUESTS_PER_SECOND_OF_RUN = 250;
const DEFAULT_SECONDS = 8;
const CONCURRENCY = 8;
const SERVICE_MS = 5;
const STREAM_EVENTS = 20;
const TIMEOUT_MS = 10_000;
const KEY = 'known-to-both';
const MS_PER_MICROSECOND = 0.001;

/** Request header that selects the way of a request. */
const WAY_HEADER = 'way';
const ATTEMPT_HEADER = 'attempt';

const format: CallFormat = {
  parseCall: () => {
    throw new Error('calls are not parsed here');
  },
  selectForwardedHeaders: () => [],
  buildProbe: () => ({path: '/', headers: {}}),
  buildUpstreamHeaders: () => [ATTEMPT_HEADER, '1'],
  parseResponseHead: headers => ({
    attemptId: headers[ATTEMPT_HEADER] as string | undefined,
    isNotRun: false,
    isSigned: true,
    isMisdirected: false,
    load: undefined,
    limitPerSecond: undefined,
    rejectionsPerSecond: undefined,
    isLeaving: false,
    restMs: undefined,
  }),
  buildCallerHeaders: () => ({[ATTEMPT_HEADER]: '1'}),
};

const retryRules: RetryRules = {
  canRun: () => false,
  maySend: () => false,
  needsRetry: () => false,
  canHedge: () => false,
  mayHedge: () => false,
  hasSendsLeft: () => false,
  stallTimeoutMs: () => undefined,
};

/** Creates the race of an attempt without rivals. */
function createOnlyAttempt() {
  return {race: createAttemptRace().enter(), onDidStall() {}};
}

async function listen(
  handler: (request: IncomingMessage, response: ServerResponse) => void,
) {
  const server = http.createServer(handler);
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    dispose() {
      server.close();
      server.closeAllConnections();
    },
  };
}

function answerAsEndpoint(
  request: IncomingMessage,
  response: ServerResponse,
): void {
  request.resume();
  response.setHeader(ATTEMPT_HEADER, '1');
  if (request.url !== '/stream') {
    setTimeout(() => response.end('done'), SERVICE_MS);
    return;
  }
  let sent = 0;
  const timer = setInterval(() => {
    sent += 1;
    response.write(`id: ${sent}\ndata: ${sent}\n\n`);
    if (sent === STREAM_EVENTS) {
      clearInterval(timer);
      response.end();
    }
  }, SERVICE_MS);
}

function createCall(path: string, now: number): ForwardedCall {
  return {
    head: {
      attemptId: '1',
      authority: 'a',
      key: undefined,
      timeoutMs: undefined,
      demand: undefined,
      lastEventId: undefined,
    },
    attemptId: '1',
    route: {
      name: 'r',
      authority: 'a',
      pathPrefix: '/',
      kind: path === '/stream' ? 'streaming' : 'idempotent',
      timeoutMs: TIMEOUT_MS,
      goalMs: 100,
      priority: 0,
      services: [{service: 's', weight: 1}],
      attempts: 1,
      isPublic: true,
      isResumable: false,
      longestPauseMs: 0,
    },
    service: 's',
    version: 'incumbent',
    customer: undefined,
    urgency: undefined,
    method: 'GET',
    path,
    rawHeaders: [],
    body: undefined,
    fingerprint: () => '',
    suspectParts: [],
    promptKeys: [],
    deadlineAt: now + TIMEOUT_MS,
    signal: new AbortController().signal,
  };
}

/** Starts an endpoint, an entry that takes over, and an entry that hands over. */
async function startEntries() {
  const clock = systemClock();
  const random = seededRandom(1);
  const log = createSilentLogger();
  const endpoint = await listen(answerAsEndpoint);
  const upstreams = createUpstreams();
  const peerUpstreams = createUpstreams();

  async function forward(
    call: ForwardedCall,
    reply: CallerReply,
  ): Promise<ForwardingResult> {
    const result = await runAttempt({
      address: endpoint.address,
      request: {
        method: call.method,
        path: call.path,
        headers: format.buildUpstreamHeaders([], {} as never),
        body: undefined,
      },
      attemptId: call.attemptId,
      upstreams,
      format,
      clock,
      signal: call.signal,
      sink: call.route.kind === 'streaming' ? reply.sink : undefined,
      ...createOnlyAttempt(),
      stallTimeoutMs: undefined,
      isStopRequested: () => false,
      confirmEnd: () => Promise.resolve(true),
      onDidReceive() {},
      onDidRespond() {},
      onDidBegin() {},
    });
    if (result.type === 'answered') {
      reply.sendResponse(result);
    }
    return {status: 200, firstByteMs: 0, endpoints: [], error: undefined};
  }

  const network = createPeerNetwork({
    self: {id: 'receiver', incarnation: 1},
    clock,
    random,
    log,
    key: KEY,
  });
  const {port} = await network.listen({host: '127.0.0.1', port: 0});
  network.setRequestHandler(
    createHandoverHandler({
      forwarding: {forward},
      reach: {isLost: () => false},
      departures: {report: () => ({})},
      format,
      inFlight: createInFlightCounter(clock),
      requestBodies: createRequestBodies(MACHINE_MB, clock),
      cores: 1,
      clock,
      log,
      drainGuard: createDrainGuard(createProcessLifecycle(), 0),
      isServing: () => true,
      onDidConclude() {},
    }),
  );
  const receiver: Member = {
    id: 'receiver',
    incarnation: 1,
    state: 'live',
    callerUrl: 'http://127.0.0.1:1',
    innerUrl: `ws://127.0.0.1:${port}`,
    failureDomain: 'a',
    region: 'r',
    load: 0,
  };
  const handovers = createHandovers({
    self: 'sender',
    failureDomain: 'a',
    liveMembers: () => [receiver],
    peerUpstreams,
    key: KEY,
    retryRules,
    bodyMemory: createRequestBodies(MACHINE_MB, clock).memory,
    departures: {mergeReport() {}},
    format,
    clock,
    random,
  });

  const ways: Readonly<
    Record<Way, (call: ForwardedCall, reply: CallerReply) => Promise<unknown>>
  > = {
    direct: forward,
    async 'handed over'(call, reply) {
      const progress = createProgress(clock.now());
      const result = await handovers.run(
        call,
        reply,
        progress,
        receiver,
        createOnlyAttempt(),
      );
      if (result.type === 'answered') {
        reply.sendResponse(result);
      }
    },
  };
  const sender = await listen((request, response) => {
    const reply = createCallerReply({
      response,
      format,
      isClosing: () => false,
    });
    const way = request.headers[WAY_HEADER] as Way;
    void ways[way](createCall(request.url ?? '/', clock.now()), reply);
  });
  return {
    address: sender.address,
    dispose() {
      for (const part of [
        sender,
        network,
        upstreams,
        peerUpstreams,
        endpoint,
      ]) {
        part.dispose();
      }
    },
  };
}

/** Sends one request; returns the times of its first byte and its end, in ms. */
function send(agent: http.Agent, address: string, kind: RequestKind, way: Way) {
  const [host, port] = address.split(':');
  const sentAt = performance.now();
  return new Promise<{firstByteMs: number; wholeMs: number}>(
    (resolve, reject) => {
      const request = http.get(
        {agent, host, port, path: `/${kind}`, headers: {[WAY_HEADER]: way}},
        response => {
          let firstByteMs: number | undefined;
          response.on('data', () => {
            firstByteMs ??= performance.now() - sentAt;
          });
          response.on('error', reject);
          response.on('end', () => {
            const wholeMs = performance.now() - sentAt;
            resolve({firstByteMs: firstByteMs ?? wholeMs, wholeMs});
          });
        },
      );
      request.on('error', reject);
    },
  );
}

function percentile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.min(sorted.length - 1, sorted.length * fraction);
  return Number(sorted[Math.floor(index)]!.toFixed(2));
}

async function measureWay(
  address: string,
  kind: RequestKind,
  way: Way,
  count: number,
): Promise<HandoverResult> {
  const agent = new http.Agent({keepAlive: true});
  const firstByteMs: number[] = [];
  const wholeMs: number[] = [];
  async function runCaller(requests: number): Promise<void> {
    for (let sent = 0; sent < requests; sent++) {
      const times = await send(agent, address, kind, way);
      firstByteMs.push(times.firstByteMs);
      wholeMs.push(times.wholeMs);
    }
  }
  const runAll = (requests: number) =>
    Promise.all(
      Array.from({length: CONCURRENCY}, () =>
        runCaller(Math.ceil(requests / CONCURRENCY)),
      ),
    );
  // The first requests open connections and compile code.
  await runAll(count / 4);
  firstByteMs.length = 0;
  wholeMs.length = 0;
  const usageBefore = process.cpuUsage();
  await runAll(count);
  const usage = process.cpuUsage(usageBefore);
  agent.destroy();
  const processorMs = (usage.user + usage.system) * MS_PER_MICROSECOND;
  return {
    kind,
    way,
    requests: wholeMs.length,
    firstByteP50Ms: percentile(firstByteMs, 0.5),
    firstByteP99Ms: percentile(firstByteMs, 0.99),
    wholeP50Ms: percentile(wholeMs, 0.5),
    wholeP99Ms: percentile(wholeMs, 0.99),
    processorMs: Number((processorMs / wholeMs.length).toFixed(3)),
  };
}

/**
 * Measures plain requests and streams, sent directly and handed over.
 *
 * @example
 * const result = await measureHandover({seed: 1, seconds: 4});
 */
export async function measureHandover(
  options: MeasureOptions,
): Promise<object> {
  const seconds = options.seconds ?? DEFAULT_SECONDS;
  const count = seconds * REQUESTS_PER_SECOND_OF_RUN;
  const entries = await startEntries();
  const results: HandoverResult[] = [];
  try {
    for (const kind of ['plain', 'stream'] as const) {
      for (const way of ['direct', 'handed over'] as const) {
        results.push(await measureWay(entries.address, kind, way, count));
      }
    }
  } finally {
    entries.dispose();
  }
  return {results};
}
