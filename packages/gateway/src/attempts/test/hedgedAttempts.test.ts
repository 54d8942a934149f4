import assert from 'node:assert/strict';
import type {ServerResponse} from 'node:http';
import {describe, it} from 'node:test';
import {
  createSilentLogger,
  createVirtualClock,
  ServingError,
} from '@skylarkfield/base';
import {runAttempt} from '../attempt.js';
import {createBodyMemory} from '../bodyBuffer.js';
import {createCallerReply} from '../../callers/callerReply.js';
import type {CallFormat} from '../../contracts.js';
import type {ForwardedCall} from '../../forwarding/forwardedCall.js';
import {createHedging, type Destination} from '../hedging.js';
import {createProgress} from '../../forwarding/retryRules.js';
import type {UpstreamListener, Upstreams} from '../upstream.js';

const STALL_TIMEOUT_MS = 400;

/** Interval at which a stalled attempt looks for a second one, in milliseconds. */
const STALL_INTERVAL_MS = 200;

const format = {
  parseResponseHead: () => ({attemptId: 'r1', isNotRun: false, isSigned: true}),
  buildCallerHeaders: () => ({}),
} as unknown as CallFormat;

function destinationOf(endpoint: string): Destination {
  return {type: 'endpoint', target: {choice: {endpoint} as never}};
}

/** A caller's response, which has chunks unless its end is unmarked. */
function createResponse() {
  let text = '';
  let isEnded = false;
  const response = {
    headersSent: false,
    chunkedEncoding: true,
    removeHeader: () => void (response.chunkedEncoding = false),
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

/**
 * Starts a stream that is sent to further endpoints while it stalls, as far as
 * its number of attempts permits.
 */
function startStream({attempts = 2} = {}) {
  const clock = createVirtualClock();
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
        onDidReceive() {},
        onDidRespond() {},
        onDidBegin() {},
      }),
    chooseHedge: () =>
      listeners.length < attempts
        ? destinationOf(`e${listeners.length}`)
        : undefined,
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
  return {clock, listeners, aborted, end, text, isEnded};
}

function event(id: number): Buffer {
  return Buffer.from(`id: ${id}\ndata: ${id}\n\n`);
}

/** Starts a stream in chunks whose endpoint falls silent after the first event. */
async function startStalledStream(options?: {attempts: number}) {
  const stream = startStream(options);
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

  it('supersede the silent one if the response has not begun', async () => {
    const {clock, listeners, aborted, end, isEnded} = startStream();
    await clock.advance(STALL_TIMEOUT_MS + 1);
    listeners[1]!.onDidRespond(200, {}, 'close');
    listeners[1]!.onDidReceive(event(1));
    assert.deepEqual(aborted, [0]);
    listeners[1]!.onDidEnd('close');
    assert.equal((await end).result.type, 'streamed');
    assert.ok(isEnded());
  });

  // Guards against a whole stream that is broken off because its second attempt has an unmarked end.
  it('leave the end of the stream to the silent one if their own is unmarked', async () => {
    const {clock, listeners, aborted, end, text, isEnded} =
      await startStalledStream();
    listeners[1]!.onDidRespond(200, {}, 'close');
    listeners[1]!.onDidReceive(event(2));
    listeners[1]!.onDidReceive(event(3));
    listeners[1]!.onDidEnd('close');
    await clock.advance(STALL_INTERVAL_MS);
    assert.deepEqual(aborted, []);
    assert.equal(text(), `${event(1)}${event(2)}${event(3)}`);
    assert.ok(!isEnded());
    listeners[0]!.onDidReceive(event(2));
    listeners[0]!.onDidReceive(event(3));
    listeners[0]!.onDidEnd('chunks');
    assert.equal((await end).result.type, 'streamed');
    assert.equal(text(), `${event(1)}${event(2)}${event(3)}`);
    assert.ok(isEnded());
    assert.equal(listeners.length, 2);
  });

  // Guards against two endpoints that work on one stream although both respond.
  it('end if their end is unmarked and the silent one goes on', async () => {
    const {listeners, aborted, end, text} = await startStalledStream();
    listeners[1]!.onDidRespond(200, {}, 'close');
    listeners[1]!.onDidReceive(event(2));
    listeners[1]!.onDidReceive(event(3));
    listeners[0]!.onDidReceive(event(2));
    assert.deepEqual(aborted, [1]);
    listeners[0]!.onDidReceive(event(3));
    listeners[0]!.onDidReceive(event(4));
    listeners[0]!.onDidEnd('chunks');
    assert.equal((await end).result.type, 'streamed');
    assert.equal(text(), [1, 2, 3, 4].map(event).join(''));
  });

  // Guards against events without an id that reach the caller twice.
  it('are not repeated by the silent one, which goes on behind them', async () => {
    const note = Buffer.from('data: note\n\n');
    const {listeners, text} = await startStalledStream();
    listeners[1]!.onDidRespond(200, {}, 'close');
    for (const bytes of [event(2), note, event(3)]) {
      listeners[1]!.onDidReceive(bytes);
    }
    for (const bytes of [event(2), note, event(3), note, event(4)]) {
      listeners[0]!.onDidReceive(bytes);
    }
    const expected = [event(1), event(2), note, event(3), note, event(4)];
    assert.equal(text(), expected.join(''));
  });

  // Guards against a stream that is complete for an endpoint that has not sent all its events.
  it('are not completed by a silent one that ends behind them', async () => {
    const {listeners, aborted, end, isEnded} = await startStalledStream();
    listeners[1]!.onDidRespond(200, {}, 'close');
    listeners[1]!.onDidReceive(event(2));
    listeners[0]!.onDidEnd('chunks');
    assert.deepEqual(aborted, []);
    listeners[1]!.onDidReceive(event(3));
    listeners[1]!.onDidEnd('close');
    assert.equal((await end).result.type, 'failed');
    assert.ok(!isEnded());
  });

  it('confirm an unmarked end if a further attempt is permitted', async () => {
    const {clock, listeners, aborted, end, text, isEnded} =
      await startStalledStream({attempts: 3});
    listeners[1]!.onDidRespond(200, {}, 'close');
    listeners[1]!.onDidReceive(event(2));
    listeners[1]!.onDidEnd('close');
    await clock.advance(STALL_INTERVAL_MS);
    assert.deepEqual(aborted, []);
    listeners[2]!.onDidRespond(200, {}, 'chunks');
    listeners[2]!.onDidEnd('chunks');
    assert.deepEqual(aborted, [0]);
    assert.equal((await end).result.type, 'streamed');
    assert.equal(text(), `${event(1)}${event(2)}`);
    assert.ok(isEnded());
  });

  // Guards against a stream that is marked as complete although no endpoint has said so.
  it('do not complete the stream by an unmarked end if the silent one is lost', async () => {
    const {clock, listeners, end, isEnded} = await startStalledStream();
    listeners[1]!.onDidRespond(200, {}, 'close');
    listeners[1]!.onDidReceive(event(2));
    listeners[1]!.onDidEnd('close');
    await clock.advance(1);
    listeners[0]!.onDidFail(new ServingError('interrupted', 'closed'));
    assert.equal((await end).result.type, 'failed');
    assert.ok(!isEnded());
  });
});
