/** Forwards single requests to test endpoints. */
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {createAdmissionController} from '@skylarkfield/admission';
import {
  createDecisionLog,
  createEmitter,
  seededRandom,
  createSilentLogger,
  systemClock,
} from '@skylarkfield/base';
import {createEngineModel, estimateEngine} from '@skylarkfield/capacity';
import {
  createCrashQuarantine,
  createRouter,
  type CrashQuarantine,
} from '@skylarkfield/routing';
import type {RegisteredEndpoint, Route} from '@skylarkfield/traffic';
import {createCallerReply} from '../callers/callerReply.js';
import type {CallFormat} from '../contracts.js';
import type {EndpointDirectory} from '../endpoints/endpointDirectory.js';
import {createEngineObserver} from '../endpoints/engineObserver.js';
import type {
  ForwardingResult,
  HandoverState,
} from '../forwarding/forwardedCall.js';
import {createForwarding} from '../forwarding/forwarding.js';
import {createRetryRules} from '../forwarding/retryRules.js';
import type {StreamMigrator} from '../forwarding/streamMigration.js';
import {createUpstreams} from '../attempts/upstream.js';
import {
  createOpenReach,
  noHandovers,
  noReports,
  noSendLog,
} from './forwardingStubs.js';
import {runInTurn, startTestEndpoint, type Behaviour} from './testEndpoint.js';

const format: CallFormat = {
  parseCall: () => {
    throw new Error('not used here');
  },
  buildUpstreamHeaders: (_, {lastEventId}) => [
    'attempt',
    'r1',
    ...(lastEventId === undefined ? [] : ['last-event', lastEventId]),
  ],
  parseResponseHead: headers => ({
    attemptId: headers['attempt'] as string | undefined,
    isNotRun: headers['not-run'] !== undefined,
    isSigned: true,
    isMisdirected: false,
    load: undefined,
    limitPerSecond: undefined,
    rejectionsPerSecond: undefined,
    isLeaving: false,
    restMs: undefined,
  }),
  selectForwardedHeaders: rawHeaders => [...rawHeaders],
  buildProbe: () => ({path: '/', headers: {}}),
  buildCallerHeaders: () => ({}),
};

/** A migrator that migrates no stream. */
const noMigrator: StreamMigrator = {
  watch: () => ({
    isStopRequested: () => false,
    isMigrating: () => false,
    continuation: async () => undefined,
    dispose: () => {},
  }),
};

/** Creates a migrator that migrates the stream of the first attempt. */
export function createOneTimeMigrator(): StreamMigrator {
  let isFirst = true;
  return {
    watch({chooseEndpoint: choose}) {
      const isMigrated = isFirst;
      isFirst = false;
      return {
        isStopRequested: () => isMigrated,
        isMigrating: () => false,
        async continuation() {
          const choice = isMigrated ? choose() : undefined;
          const kvCache = {source: '10.0.0.1:1', handle: 'h'};
          return choice && {choice, kvCache, drop: () => {}};
        },
        dispose: () => {},
      };
    },
  };
}

export interface ForwardingOutcome {
  readonly status: number;
  readonly body: string;
  readonly retryAfter: string | undefined;
  /** Whether the caller received an incomplete response. */
  readonly isBroken: boolean;
  /** Number of requests that endpoints received. */
  readonly receivedCount: number;
  /** Last-event ids that endpoints received, one for each request. */
  readonly lastEventIds: readonly (string | undefined)[];
  readonly result: ForwardingResult;
}

export interface ForwardingFaults {
  /** Indices of endpoints that refuse connections. */
  readonly refusing?: readonly number[];
  readonly hasRetryBudget?: boolean;
  /** Whether the router knows no endpoint. */
  readonly isUnrouted?: boolean;
  /** Quarantine of the entry; empty by default. */
  readonly crashQuarantine?: CrashQuarantine;
  /** Whether every endpoint would begin the response too late. */
  readonly isWaitTooLong?: boolean;
  /** Set if another entry has handed the request over. */
  readonly handover?: HandoverState;
  /** Called for data of responses that have begun. */
  readonly onDidReceiveData?: (endpoint: string, sentAt: number) => void;
  /** Whether endpoints still run when their responses have ended; true by default. */
  readonly isRunningAfterEnd?: boolean;
}

const ENDPOINT_COUNT = 3;

/**
 * Returns an address at which nothing listens. Unlike a closed port, a port that
 * needs privileges cannot become that of another listener.
 */
function unusedAddress(index: number): string {
  return `127.0.0.1:${index + 1}`;
}

/** Fingerprint of the forwarded request. */
export const FINGERPRINT = 'f1';

/**
 * Forwards one request to endpoints that share the behaviours: each request to
 * an endpoint gets the next behaviour of the list.
 */
export async function forwardTo(
  route: Route,
  behaviours: readonly Behaviour[],
  streamMigrator: StreamMigrator = noMigrator,
  isResting: () => boolean = () => false,
  {
    refusing = [],
    hasRetryBudget = true,
    isUnrouted = false,
    crashQuarantine,
    isWaitTooLong = false,
    handover,
    onDidReceiveData = () => {},
    isRunningAfterEnd = true,
  }: ForwardingFaults = {},
): Promise<ForwardingOutcome> {
  const clock = systemClock();
  const log = createSilentLogger();
  const random = seededRandom(1);
  const decisions = createDecisionLog(clock, log);
  const behaviour = runInTurn(behaviours);
  const endpoints = await Promise.all(
    Array.from({length: ENDPOINT_COUNT}, () => startTestEndpoint(behaviour)),
  );
  const registeredEndpoints = new Map<string, RegisteredEndpoint>(
    endpoints.map(({address}, index) => [
      `e${index}`,
      {
        id: `e${index}`,
        bornAt: 0,
        service: 's',
        address: refusing.includes(index) ? unusedAddress(index) : address,
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
    (isUnrouted ? [] : [...registeredEndpoints.values()]).map(
      ({id, address}) => ({
        id,
        service: 's',
        version: 'incumbent',
        failureDomain: 'a',
        host: address,
        type: 'plain',
      }),
    ),
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
    endpointReports: {...noReports, recordData: onDidReceiveData},
    slotShares: {recordRejection: () => {}},
    warmUps: {recordUnreachable: () => {}},
    crashQuarantine:
      crashQuarantine ??
      createCrashQuarantine({
        clock,
        self: 'x',
        decisions,
        wallMs: () => clock.wall(),
      }),
    reach: createOpenReach(clock),
    directory: {get: id => registeredEndpoints.get(id)} as EndpointDirectory,
    onDidStopAccepting: createEmitter<string>().event,
    retryRules: createRetryRules({
      admission: {
        tryAcquireRetry: service =>
          hasRetryBudget && admission.tryAcquireRetry(service),
      },
      clock,
    }),
    handovers: noHandovers,
    rests: {isResting},
    sendLog: noSendLog,
    drainGuard: {rejectionFor: () => undefined},
    upstreams,
    endConfirmation: {confirm: async () => isRunningAfterEnd},
    migrator: streamMigrator,
    engineObserver: {
      ...createEngineObserver({
        model: createEngineModel(clock),
        clock,
        estimateFor: () => estimateEngine(undefined, []),
        tokensPerEvent: () => 1,
        fitsKvCache: () => true,
        onDidRecompute: () => {},
      }),
      expectedWait: () => ({ms: 9, longestMs: 1, isTooLong: isWaitTooLong}),
    },
    format,
    clock,
    log,
    isRollingOut: () => false,
    onDidRun: () => {},
  });
  let result: ForwardingResult | undefined;
  const server = http.createServer((request, response) => {
    const disconnectController = new AbortController();
    response.once('close', () => disconnectController.abort());
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
          fingerprint: () => FINGERPRINT,
          suspectParts: [],
          promptKeys: [],
          deadlineAt: clock.now() + 5_000,
          signal: disconnectController.signal,
          ...(handover && {handover}),
        },
        reply,
      )
      .then(forwardingResult => (result = forwardingResult));
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
  const receivedRequests = endpoints.flatMap(
    endpoint => endpoint.receivedRequests,
  );
  return {
    ...callerResponse,
    receivedCount: receivedRequests.length,
    lastEventIds: receivedRequests.map(({lastEventId}) => lastEventId),
    result,
  };
}

function sendRequest(port: number) {
  return new Promise<
    Omit<ForwardingOutcome, 'receivedCount' | 'result' | 'lastEventIds'>
  >(resolve => {
    const request = http.get(
      {port, host: '127.0.0.1', agent: false},
      response => {
        let body = '';
        const resolveWith = (isBroken: boolean) =>
          resolve({
            status: response.statusCode ?? 0,
            body,
            retryAfter: response.headers['retry-after'],
            isBroken,
          });
        response.on('data', chunk => (body += chunk));
        response.on('end', () => resolveWith(false));
        response.on('error', () => resolveWith(true));
      },
    );
    request.on('error', () =>
      resolve({status: 0, body: '', retryAfter: undefined, isBroken: true}),
    );
  });
}
