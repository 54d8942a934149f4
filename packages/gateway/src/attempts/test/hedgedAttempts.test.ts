import assert from 'node:assert/strict';
import type {ServerResponse} from 'node:http';
import {describe, it} from 'node:test';
import {createSilentLogger, createVirtualClock} from '@skylarkfield/base';
import {runAttempt} from '../attempt.js';
import {createBodyMemory} from '../bodyBuffer.js';
import {createCallerReply} from '../../callers/callerReply.js';
import type {CallFormat} from '../../contracts.js';
import type {ForwardedCall} from '../../forwarding/forwardedCall.js';
import {createHedging, type Destination} from '../hedging.js';
import {createProgress} from '../../forwarding/retryRules.js';
import type {UpstreamListener, Upstreams} from '../upstream.js';

const STALL_TIMEOUT_MS = 400;

const format = {
  parseResponseHead: () => ({attemptId: 'r1', isNotRun: false, isSigned: true}),
  buildCallerHeaders: () => ({}),
} as unknown as CallFormat;

function destinationOf(endpoint: string): Destination {
  return {type: 'endpoint', target: {choice: {endpoint} as never}};
}

/** A caller's response in chunks. */
function createResponse() {
  let text = '';
  let isEnded = false;
  const response = {
    headersSent: false,
    req: {httpVersion: '1.1'},
    writeHead: () => void (response.headersSent = true),
    write(bytes: Buffer) {
      text += bytes.toString();
      return true;
    },
    end: () => void (isEnded = true),
  };
  return {
    response: response as unknown as ServerResponse,
    text: () => text,
    isEnded: () => isEnded,
  };
}

/** Starts a stream that is sent to a second endpoint when it stalls. */
function startStream() {
  const clock = createVirtualClock();
  const confirmations: ((isConfirmed: boolean) => void)[] = [];
  const listeners: UpstreamListener[] = [];
  const aborted: number[] = [];
  const {response, text, isEnded} = createResponse();
  const reply = createCallerReply({
    response,
    format,
    isClosing: () => false,
  });
  const upstreams = {
    bodyMemory: createBodyMemory(),
    send(_address: string, _request: unknown, listener: UpstreamListener) {
      const index = listeners.push(listener) - 1;
      return {
        hasStarted: () => true,
        abort: () => void aborted.push(index),
        pause() {},
        resume() {},
      };
    },
  } as unknown as Upstreams;
  const hedging = createHedging({
    runAttempt: (_call, _reply, _progress, _destination, racingAttempt) =>
      runAttempt({
        address: '10.0.0.1:80',
        request: {method: 'GET', path: '/', headers: [], body: undefined},
        attemptId: 'r1',
        upstreams,
        format,
        clock,
        signal: new AbortController().signal,
        sink: reply.sink,
        stallTimeoutMs: STALL_TIMEOUT_MS,
        ...racingAttempt,
        isStopRequested: () => false,
        confirmEnd: () => new Promise(resolve => confirmations.push(resolve)),
        onDidReceive() {},
        onDidRespond() {},
        onDidBegin() {},
      }),
    chooseHedge: () =>
      listeners.length < 2 ? destinationOf(`e${listeners.length}`) : undefined,
    isResponding: async () => false,
    clock,
    log: createSilentLogger(),
  });
  const end = hedging.run(
    {attemptId: 'r1', route: {kind: 'streaming'}} as ForwardedCall,
    reply,
    createProgress(0),
    destinationOf('e0'),
  );
  return {clock, listeners, aborted, confirmations, end, text, isEnded};
}

function event(id: number): Buffer {
  return Buffer.from(`id: ${id}\ndata: ${id}\n\n`);
}

/** Starts a stream in chunks whose endpoint falls silent after the first event. */
async function startStalledStream() {
  const stream = startStream();
  stream.listeners[0]!.onDidRespond(200, {}, 'chunks');
  stream.listeners[0]!.onDidReceive(event(1));
  await stream.clock.advance(STALL_TIMEOUT_MS + 1);
  assert.equal(stream.listeners.length, 2);
  return stream;
}

describe('hedged attempts of a stream', () => {
  for (const status of [404, 500]) {
    // Guards against streams that are lost because a second endpoint cannot resume them.
    it(`go on at the first endpoint if the second one answers ${status}`, async () => {
      const {clock, listeners, aborted, end, text} = startStream();
      listeners[0]!.onDidRespond(200, {}, 'chunks');
      listeners[0]!.onDidReceive(event(1));
      await clock.advance(STALL_TIMEOUT_MS + 1);
      listeners[1]!.onDidRespond(status, {}, 'length');
      listeners[1]!.onDidEnd('length');
      await clock.advance(1);
      assert.deepEqual(aborted, []);
      listeners[0]!.onDidReceive(event(2));
      listeners[0]!.onDidEnd('chunks');
      assert.equal((await end).result.type, 'streamed');
      assert.equal(text(), `${event(1)}${event(2)}`);
    });
  }

  it('supersede the silent one if they can complete the response', async () => {
    const {listeners, aborted, end, text} = await startStalledStream();
    listeners[1]!.onDidRespond(200, {}, 'chunks');
    listeners[1]!.onDidReceive(event(2));
    assert.deepEqual(aborted, [0]);
    listeners[1]!.onDidEnd('chunks');
    assert.equal((await end).result.type, 'streamed');
    assert.equal(text(), `${event(1)}${event(2)}`);
  });

  // Guards against streams that go back to the events of a silent attempt after those of another one.
  for (const hasBegun of [true, false]) {
    it(`supersede the silent one also if their own end is unmarked, begun ${hasBegun}`, async () => {
      const {clock, listeners, aborted, confirmations, end, text, isEnded} =
        hasBegun ? await startStalledStream() : startStream();
      await clock.advance(hasBegun ? 0 : STALL_TIMEOUT_MS + 1);
      listeners[1]!.onDidRespond(200, {}, 'close');
      listeners[1]!.onDidReceive(event(2));
      assert.deepEqual(aborted, [0]);
      listeners[1]!.onDidEnd('close');
      await clock.advance(1);
      assert.ok(!isEnded());
      confirmations[0]!(true);
      assert.equal((await end).result.type, 'streamed');
      assert.equal(text(), `${hasBegun ? event(1) : ''}${event(2)}`);
      assert.ok(isEnded());
    });
  }

  // Guards against a stream that is marked as complete although its endpoint has crashed.
  it('do not complete the stream by an unmarked end that is not confirmed', async () => {
    const {listeners, confirmations, end, isEnded} = await startStalledStream();
    listeners[1]!.onDidRespond(200, {}, 'close');
    listeners[1]!.onDidReceive(event(2));
    listeners[1]!.onDidEnd('close');
    confirmations[0]!(false);
    assert.equal((await end).result.type, 'failed');
    assert.ok(!isEnded());
  });

  // Guards against streams that wait for a crashed endpoint although another one responds.
  it('complete the stream while an unmarked end of the first one is not confirmed', async () => {
    const {clock, listeners, confirmations, end, text, isEnded} = startStream();
    listeners[0]!.onDidRespond(200, {}, 'close');
    listeners[0]!.onDidReceive(event(1));
    listeners[0]!.onDidEnd('close');
    await clock.advance(STALL_TIMEOUT_MS + 1);
    listeners[1]!.onDidRespond(200, {}, 'chunks');
    listeners[1]!.onDidReceive(event(2));
    confirmations[0]!(true);
    await clock.advance(1);
    assert.ok(!isEnded());
    listeners[1]!.onDidEnd('chunks');
    assert.equal((await end).result.type, 'streamed');
    assert.equal(text(), `${event(1)}${event(2)}`);
  });
});
