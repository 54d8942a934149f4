import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSilentLogger, createVirtualClock} from '@skylarkfield/base';
import {runAttempt, type EventSink} from '../attempt.js';
import type {CallerReply} from '../callerReply.js';
import type {CallFormat} from '../contracts.js';
import type {ForwardedCall} from '../forwardedCall.js';
import {createHedging, type Destination} from '../hedging.js';
import {createProgress} from '../retryRules.js';
import type {UpstreamListener, Upstreams} from '../upstream.js';

const STALL_TIMEOUT_MS = 400;

const format = {
  parseResponseHead: () => ({attemptId: 'r1', isNotRun: false}),
} as unknown as CallFormat;

function destinationOf(endpoint: string): Destination {
  return {type: 'endpoint', target: {choice: {endpoint} as never}};
}

/** Starts a stream that is sent to a second endpoint when it stalls. */
function startStream() {
  const clock = createVirtualClock();
  const listeners: UpstreamListener[] = [];
  const aborted: number[] = [];
  let text = '';
  let hasBegun = false;
  const upstreams = {
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
  const sink: EventSink = {
    hasBegun: () => hasBegun,
    begin: () => void (hasBegun = true),
    write({bytes}) {
      text += bytes.toString();
      return true;
    },
    whenDrained() {},
    finish: () => true,
  };
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
        sink,
        stallTimeoutMs: STALL_TIMEOUT_MS,
        ...racingAttempt,
        isStopRequested: () => false,
        onDidReceive() {},
        onDidRespond() {},
        onDidBegin() {},
      }),
    chooseHedge: () => destinationOf('b'),
    isResponding: async () => false,
    clock,
    log: createSilentLogger(),
  });
  const end = hedging.run(
    {attemptId: 'r1', route: {kind: 'streaming'}} as ForwardedCall,
    {hasBegun: () => hasBegun} as CallerReply,
    createProgress(0),
    destinationOf('a'),
  );
  return {clock, listeners, aborted, end, text: () => text};
}

function event(id: number): Buffer {
  return Buffer.from(`id: ${id}\ndata: ${id}\n\n`);
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
});
