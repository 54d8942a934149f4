import assert from 'node:assert/strict';
import {once} from 'node:events';
import http from 'node:http';
import {connect} from 'node:net';
import {describe, it} from 'node:test';
import {
  createAdmissionController,
  type AdmissionController,
} from '@skylarkfield/admission';
import {
  createDecisionLog,
  createDrainGuard,
  createInFlightCounter,
  createProcessLifecycle,
  createSilentLogger,
  seededRandom,
  systemClock,
  type InFlightCounter,
} from '@skylarkfield/base';
import type {Route} from '@skylarkfield/traffic';
import type {ActivePolicy} from '../../policy/activePolicy.js';
import {createCallerHandler} from '../callerHandler.js';
import {createRequestBodies} from '../requestBodies.js';
import {createRequestAdmission} from '../requestAdmission.js';
import type {CallFormat} from '../../contracts.js';
import type {ForwardingResult} from '../../forwarding/forwardedCall.js';
import type {Forwarding} from '../../forwarding/forwarding.js';
import {openPort, type Port} from '../../process/listeners.js';
import type {QuotaCharge} from '../../quotas/quotaCharge.js';
import type {RequestMetrics} from '../requestMetrics.js';

/** Memory of the machine, in megabytes. */
const MACHINE_MB = 350;

const SERVICE = 's';

const ROUTE: Route = {
  name: 'route',
  authority: 'a',
  pathPrefix: '/',
  kind: 'idempotent',
  timeoutMs: 5_000,
  goalMs: 0,
  priority: 0,
  services: [{service: SERVICE, weight: 1}],
  attempts: 2,
  isPublic: true,
  isResumable: false,
  longestPauseMs: 0,
};

const ANSWERED: ForwardingResult = {
  status: 200,
  error: undefined,
  firstByteMs: 1,
  endpoints: ['e1'],
};

/** More than the sockets between an entry and a caller buffer, in bytes. */
const LARGE_BYTES = 32 * 1024 * 1024;

const format = {
  parseCall: () => ({
    attemptId: 't1',
    authority: 'a',
    key: undefined,
    timeoutMs: undefined,
    demand: undefined,
    lastEventId: undefined,
  }),
  buildCallerHeaders: () => ({}),
} as unknown as CallFormat;

interface HandlerSystem {
  readonly port: Port;
  readonly admission: AdmissionController;
  readonly inFlight: InFlightCounter;
}

/** Opens a port with a handler whose service takes one request at a time. */
async function setUp(
  forward: Forwarding['forward'],
  chargeQuota: (admission: AdmissionController) => void = () => {},
  timeoutMs = ROUTE.timeoutMs,
): Promise<HandlerSystem> {
  const clock = systemClock();
  const log = createSilentLogger();
  const inFlight = createInFlightCounter(clock);
  const admission = createAdmissionController({
    clock,
    random: seededRandom(1),
    decisions: createDecisionLog(clock, log),
    limitPolicy: 'fixed',
  });
  admission.setService(SERVICE, {
    name: SERVICE,
    concurrency: 1,
    queue: 10,
    targetMs: 100,
  });
  const charge: QuotaCharge = async () => {
    chargeQuota(admission);
    return () => {};
  };
  const handler = createCallerHandler({
    policy: {
      routeOf: () => ({...ROUTE, timeoutMs}),
      customerOf: () => undefined,
      limits: () => ({bodyBytes: 1_000}),
      version: () => 1,
      ageMs: () => 0,
    } as unknown as ActivePolicy,
    chargeQuota: charge,
    crashQuarantine: {
      isEmpty: () => true,
      verdictFor: () => ({type: 'clear'}),
    },
    requestAdmission: createRequestAdmission({
      admission,
      schedulerClient: {
        place: async () => ({type: 'undecided'}),
      },
      schedulerUse: {asks: () => false},
      failureDomain: 'a',
      usualOwnTokens: () => 1,
      chooseGroup: () => 'incumbent',
      onDidAccept() {},
    }),
    forwarding: {forward},
    format,
    requestBodies: createRequestBodies(MACHINE_MB, systemClock()),
    servingState: {
      isServing: () => true,
      isReady: () => true,
      isClosing: () => false,
    },
    drainGuard: createDrainGuard(createProcessLifecycle(), 0),
    inFlight,
    outcomeMeter: {record() {}},
    metrics: {record() {}} as unknown as RequestMetrics,
    clock,
    log,
    onDidAnswer() {},
    onDidConclude() {},
  });
  const port = await openPort(
    {host: '127.0.0.1', port: 0},
    (request, response) => void handler.handle(request, response),
    log,
    'limited',
  );
  return {port, admission, inFlight};
}

async function beginRequest({port}: Port): Promise<http.IncomingMessage> {
  const request = http.get({port, host: '127.0.0.1', agent: false});
  const [response] = (await once(request, 'response')) as [
    http.IncomingMessage,
  ];
  return response;
}

async function until(isMet: () => boolean): Promise<void> {
  while (!isMet()) {
    await new Promise(resolve => setImmediate(resolve));
  }
}

describe('createCallerHandler', {timeout: 20_000}, () => {
  // Guards against callers who get a final 404 because a policy has moved their route to another service.
  it('rejects queued requests of a removed service so that they are sent again', async () => {
    let finishFirst = () => {};
    const {port, admission, inFlight} = await setUp(async (call, reply) => {
      await new Promise<void>(resolve => (finishFirst = resolve));
      reply.sendResponse({
        status: 200,
        headers: {},
        body: Buffer.alloc(0),
        end: {framing: 'length', remainderBytes: 0},
      });
      return ANSWERED;
    });
    const running = beginRequest(port);
    const queued = beginRequest(port);
    const waitingCount = () =>
      (admission.dump() as {services: {waiting: number}[]}).services[0]
        ?.waiting;
    await until(() => inFlight.count() === 2 && waitingCount() === 1);
    admission.setService(SERVICE, undefined);
    const {statusCode, headers} = await queued;
    finishFirst();
    assert.equal((await running).statusCode, 200);
    assert.equal(statusCode, 503);
    assert.notEqual(headers['retry-after'], undefined);
    port.dispose();
  });

  // Guards against callers who get a final 404 because a policy has moved their route to another service.
  it('rejects requests whose service was removed while their quota was decided', async () => {
    const {port} = await setUp(
      () => Promise.reject(new Error('not used here')),
      admission => admission.setService(SERVICE, undefined),
    );
    const {statusCode, headers} = await beginRequest(port);
    assert.equal(statusCode, 503);
    assert.notEqual(headers['retry-after'], undefined);
    port.dispose();
  });

  // Guards against complete answers that a stopping entry cuts off because their callers have not read them yet.
  it('counts a request as in flight until its answer has been read', async () => {
    const {port, inFlight} = await setUp(async (call, reply) => {
      reply.sendResponse({
        status: 200,
        headers: {},
        body: Buffer.alloc(LARGE_BYTES),
        end: {framing: 'length', remainderBytes: 0},
      });
      return ANSWERED;
    });
    const response = await beginRequest(port);
    const whenIdle = inFlight.waitUntilIdle(10_000);
    const isStillInFlight = inFlight.count() === 1;
    void whenIdle.then(() => port.dispose());
    let receivedBytes = 0;
    response.on('data', (chunk: Buffer) => (receivedBytes += chunk.length));
    const whenRead = once(response, 'end').catch(() => {});
    await whenRead;
    assert.equal(receivedBytes, LARGE_BYTES);
    assert.ok(isStillInFlight);
    assert.equal(await whenIdle, true);
  });

  const notForwarded = () => Promise.reject(new Error('not used here'));

  // Guards against rejected bodies that are read without end.
  it('closes the connection of a body that has no end', async () => {
    const {port} = await setUp(notForwarded);
    const socket = connect(port.port, '127.0.0.1');
    const block = `1000\r\n${'x'.repeat(0x1000)}\r\n`;
    let answer = '';
    socket.on('error', () => {});
    socket.on('data', bytes => (answer += bytes.toString('latin1')));
    socket.write('POST / HTTP/1.1\r\nHost: a\r\n');
    socket.write('Transfer-Encoding: chunked\r\n\r\n');
    const send = () => {
      while (!socket.destroyed && socket.write(block));
    };
    socket.on('drain', send);
    send();
    await new Promise(resolve => socket.once('close', resolve));
    assert.match(answer, /^HTTP\/1.1 413 /);
    port.dispose();
  });

  // Guards against callers who keep a request open although its time is over.
  it('rejects a request whose body has not ended at its deadline', async () => {
    const {port} = await setUp(notForwarded, undefined, 50);
    const socket = connect(port.port, '127.0.0.1');
    socket.write('POST / HTTP/1.1\r\nHost: a\r\n');
    socket.write('Content-Length: 10\r\n\r\nx');
    const [answer] = (await once(socket, 'data')) as [Buffer];
    assert.match(answer.toString(), /^HTTP\/1.1 503 [^]*"run":"not-run"/);
    socket.destroy();
    port.dispose();
  });
});
