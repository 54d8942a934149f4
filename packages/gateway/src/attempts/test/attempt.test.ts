import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualClock, ServingError} from '@skylarkfield/base';
import {runAttempt} from '../attempt.js';
import type {AttemptResult, EventSink} from '../attemptResult.js';
import {createAttemptRace} from '../attemptRace.js';
import {createBodyMemory, MAX_BODY_BYTES} from '../bodyBuffer.js';
import type {CallFormat} from '../../contracts.js';
import {MAX_EVENT_BYTES} from '../eventFramer.js';
import type {UpstreamListener, Upstreams} from '../upstream.js';

const STALL_TIMEOUT_MS = 400;

const format = {
  parseResponseHead: () => ({
    attemptId: 'r1',
    isNotRun: false,
    isSigned: true,
    isMisdirected: false,
    load: undefined,
    limitPerSecond: undefined,
    rejectionsPerSecond: undefined,
    isLeaving: false,
    restMs: undefined,
  }),
} as unknown as CallFormat;

/** Starts an attempt whose connection the test controls. */
function startAttempt({
  hasStarted = true,
  sink,
}: {hasStarted?: boolean; sink?: EventSink} = {}) {
  const clock = createVirtualClock();
  const race = createAttemptRace();
  const earlierRival = race.enter();
  const entry = race.enter();
  const laterRival = race.enter();
  const silentTimesMs: number[] = [];
  const receivedLate: boolean[] = [];
  const controller = new AbortController();
  let listener!: UpstreamListener;
  let losePath!: () => void;
  let stopAccepting!: () => void;
  let result: AttemptResult | undefined;
  const upstreams = {
    bodyMemory: createBodyMemory(),
    send(_address: string, _request: unknown, newListener: UpstreamListener) {
      listener = newListener;
      return {
        hasStarted: () => hasStarted,
        abort() {},
        pause() {},
        resume() {},
      };
    },
  } as unknown as Upstreams;
  void runAttempt({
    address: '10.0.0.1:80',
    request: {method: 'GET', path: '/', headers: [], body: undefined},
    attemptId: 'r1',
    upstreams,
    format,
    clock,
    signal: controller.signal,
    sink,
    race: entry,
    stallTimeoutMs: STALL_TIMEOUT_MS,
    onDidStall: ({silentMs}) => silentTimesMs.push(silentMs),
    onDidLosePath(callback) {
      losePath = callback;
      return {dispose() {}};
    },
    onDidStopAccepting(callback) {
      stopAccepting = callback;
      return {dispose() {}};
    },
    isStopRequested: () => false,
    confirmEnd: async () => true,
    onDidReceive: mayHaveWaited => void receivedLate.push(mayHaveWaited),
    onDidRespond() {},
    onDidBegin() {},
  }).then(attemptResult => (result = attemptResult));
  return {
    clock,
    controller,
    listener,
    earlierRival,
    laterRival,
    silentTimesMs,
    receivedLate,
    losePath: () => losePath(),
    stopAccepting: () => stopAccepting(),
    async settled(): Promise<AttemptResult | undefined> {
      await clock.advance(0);
      return result;
    },
  };
}

function errorOf(result: AttemptResult | undefined): ServingError | undefined {
  return result?.type === 'failed' ? result.error : undefined;
}

describe('attempt', () => {
  // Guards against data from before a crash that shows an endpoint as running.
  it('tells that data may have waited while its caller read slowly', () => {
    let resume = () => {};
    const {listener, receivedLate} = startAttempt({
      sink: {
        hasBegun: () => false,
        begin() {},
        write: () => false,
        whenDrained: listener => void (resume = listener),
        lastEventId: () => undefined,
        finish() {},
      },
    });
    listener.onDidRespond(200, {}, 'chunks');
    receivedLate.length = 0;
    listener.onDidReceive(Buffer.from('data: 1\n\n'));
    resume();
    listener.onDidReceive(Buffer.from('data: 2\n\n'));
    assert.deepEqual(receivedLate, [false, true]);
  });

  // Guards against responses that are lost because a silent endpoint was given up.
  it('stalls when no data arrives, and returns the response that arrives then', async () => {
    const {clock, listener, silentTimesMs, settled} = startAttempt();
    await clock.advance(STALL_TIMEOUT_MS + 1);
    assert.deepEqual(silentTimesMs, [STALL_TIMEOUT_MS]);
    await clock.advance(4 * STALL_TIMEOUT_MS);
    assert.equal(await settled(), undefined);
    listener.onDidRespond(200, {}, 'length');
    listener.onDidEnd('length');
    assert.equal((await settled())?.type, 'answered');
  });

  // Guards against endpoints that are gone for good and are not known to fail.
  it('fails as silent if a later attempt responds during a stall', async () => {
    const {clock, laterRival, settled} = startAttempt();
    await clock.advance(STALL_TIMEOUT_MS + 1);
    laterRival.lead();
    const result = await settled();
    assert.equal(errorOf(result)?.kind, 'interrupted');
    assert.equal(result?.type === 'failed' && result.loss, 'silent');
  });

  // Guards against sound endpoints that are ejected since a paused one went on first.
  it('is cancelled if an earlier attempt responds', async () => {
    const {clock, earlierRival, settled} = startAttempt();
    await clock.advance(STALL_TIMEOUT_MS + 1);
    earlierRival.lead();
    const result = await settled();
    assert.equal(errorOf(result)?.kind, 'cancelled');
    assert.equal(errorOf(result)?.run, 'may-have-run');
    assert.equal(result?.type === 'failed' && result.loss, undefined);
  });

  // Guards against answers without end that use up the memory of the process.
  it('fails if the response is longer than permitted', async () => {
    const {listener, settled} = startAttempt();
    listener.onDidRespond(200, {}, 'chunks');
    const block = Buffer.alloc(MAX_BODY_BYTES / 16);
    for (let count = 0; count < 16; count++) {
      listener.onDidReceive(block);
    }
    assert.equal(await settled(), undefined);
    listener.onDidReceive(Buffer.alloc(1));
    const error = errorOf(await settled());
    assert.equal(error?.kind, 'protocol-violation');
    assert.equal(error.run, 'may-have-run');
  });

  // Guards against events without end that use up the memory of the process.
  it('fails if an event is longer than permitted', async () => {
    const sentIds: (number | undefined)[] = [];
    const {listener, settled} = startAttempt({
      sink: {
        hasBegun: () => sentIds.length > 0,
        begin() {},
        write: ({id}) => sentIds.push(id) > 0,
        whenDrained() {},
        lastEventId: () => undefined,
        finish() {},
      },
    });
    listener.onDidRespond(200, {}, 'chunks');
    listener.onDidReceive(Buffer.from('id: 1\ndata: one\n\n'));
    const block = Buffer.alloc(MAX_EVENT_BYTES / 16, 'x');
    for (let count = 0; count < 16; count++) {
      listener.onDidReceive(block);
    }
    assert.equal(await settled(), undefined);
    listener.onDidReceive(Buffer.from('x'));
    assert.equal(errorOf(await settled())?.kind, 'protocol-violation');
    assert.deepEqual(sentIds, [1]);
  });

  it('is not run if another attempt responds before it was sent', async () => {
    const {laterRival, settled} = startAttempt({hasStarted: false});
    laterRival.lead();
    const error = errorOf(await settled());
    assert.equal(error?.kind, 'cancelled');
    assert.equal(error.run, 'not-run');
  });

  // Guards against requests that are given up after a pause of this process although their responses have arrived.
  it('goes on after a pause of this process', async () => {
    const {clock, listener, settled} = startAttempt();
    clock.jump(5_000);
    await clock.advance(1);
    assert.equal(await settled(), undefined);
    listener.onDidRespond(200, {}, 'length');
    listener.onDidEnd('length');
    assert.equal((await settled())?.type, 'answered');
  });

  // Guards against orders that are lost although they could be handed over.
  it('is not run if its connection was not open when the paths were lost', async () => {
    const {losePath, settled} = startAttempt({hasStarted: false});
    losePath();
    const error = errorOf(await settled());
    assert.equal(error?.kind, 'endpoint-unavailable');
    assert.equal(error.run, 'not-run');
  });

  // Guards against orders that run twice, and streams that are lost, because their first run was given up.
  it('stalls at once when the paths are lost, and goes on', async () => {
    const {losePath, silentTimesMs, settled} = startAttempt();
    losePath();
    assert.deepEqual(silentTimesMs, [0]);
    assert.equal(await settled(), undefined);
  });

  // Guards against requests that wait for a connection and reach an endpoint after it has announced its departure.
  it('is withdrawn if it was not sent when the endpoint stopped accepting requests', async () => {
    const waiting = startAttempt({hasStarted: false});
    waiting.stopAccepting();
    assert.equal((await waiting.settled())?.type, 'withdrawn');
    const sent = startAttempt();
    sent.stopAccepting();
    assert.equal(await sent.settled(), undefined);
  });

  // Guards against callers who cannot retry an order that was never sent.
  it('is not run if it was not sent before the deadline', async () => {
    const {controller, settled} = startAttempt({hasStarted: false});
    controller.abort(
      new ServingError('deadline-exceeded', 'late', {run: 'may-have-run'}),
    );
    assert.equal(errorOf(await settled())?.run, 'not-run');
  });
});
