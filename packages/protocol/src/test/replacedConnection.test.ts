import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {WebSocket, type RawData} from 'ws';
import type {ServingError} from '@skylarkfield/base';
import {
  PROTOCOL_VERSION,
  decodeFrame,
  encodeFrame,
  type Frame,
} from '../index.js';
import {RESPONSE_FRAME, HELLO_FRAME} from '../codec.js';
import {KEY, startPeer, type TestPeer} from './peers.js';
import {until} from './until.js';

const LONG_TIMEOUT_MS = 60_000;
const REQUEST_BODY = {id: 'b', incarnation: 1};

/** Connection of peer x as a raw socket controlled by the test. */
interface RawConnection {
  readonly socket: WebSocket;
  readonly receivedFrames: Frame[];
}

describe('a connection replaced by a newer one', () => {
  let a: TestPeer;
  let connections: RawConnection[];

  beforeEach(async () => {
    a = await startPeer('a');
    connections = [];
  });

  afterEach(() => {
    a.network.dispose();
    connections.forEach(connection => connection.socket.terminate());
  });

  async function connect(incarnation: number): Promise<RawConnection> {
    const socket = new WebSocket(new URL('/peers', a.address.url), {
      headers: {authorization: `Bearer ${KEY}`},
    });
    const receivedFrames: Frame[] = [];
    const body = {id: 'x', incarnation, protocolVersion: PROTOCOL_VERSION};
    socket.on('open', () =>
      socket.send(encodeFrame({type: HELLO_FRAME, requestId: 0, body})),
    );
    socket.on('message', (data: RawData) =>
      receivedFrames.push(decodeFrame(data as Buffer)),
    );
    socket.on('error', () => {});
    connections.push({socket, receivedFrames});
    await until(() => receivedFrames.length > 0, 'x received the hello');
    return {socket, receivedFrames};
  }

  /** Sends peer x a request and waits until the connection receives it. */
  async function requestOver(connection: RawConnection) {
    const outcome: {value?: unknown} = {};
    const receivedBefore = connection.receivedFrames.length;
    a.network.request('x', 'memberWord', REQUEST_BODY, LONG_TIMEOUT_MS).then(
      response => (outcome.value = response),
      error => (outcome.value = error),
    );
    await until(
      () => connection.receivedFrames.length > receivedBefore,
      'the request arrives',
    );
    return outcome;
  }

  it('fails pending requests when the old connection closes', async () => {
    // A peer redials, for example after a network failure, and closes the old
    // connection with a request pending. The sender and its caller would wait
    // the whole timeout for a response that cannot arrive.
    const oldConnection = await connect(1);
    const outcome = await requestOver(oldConnection);
    await connect(1);
    await until(() => outcome.value !== undefined, 'the request fails');
    const {kind, run} = outcome.value as ServingError;
    assert.deepEqual({kind, run}, {kind: 'interrupted', run: 'may-have-run'});
  });

  it('fails pending requests immediately when the peer has restarted', async () => {
    // The old process is gone with its host, so its connection never closes,
    // and the new process has never received the request.
    const oldConnection = await connect(1);
    const outcome = await requestOver(oldConnection);
    oldConnection.socket.pause();
    await connect(2);
    await until(() => outcome.value !== undefined, 'the request fails');
    const {kind, run} = outcome.value as ServingError;
    assert.deepEqual({kind, run}, {kind: 'interrupted', run: 'may-have-run'});
  });

  it('accepts a response that was in transit during the replacement', async () => {
    // Two entries dial each other at the same time, and one connection replaces
    // the other while a response is in transit. If the response were dropped, a
    // call that has run would be reported as `may-have-run`.
    const oldConnection = await connect(1);
    const outcome = await requestOver(oldConnection);
    oldConnection.socket.pause();
    await connect(1);
    const {requestId: receivedId} = oldConnection.receivedFrames.at(-1)!;
    const body = {heardAgoMs: 5};
    oldConnection.socket.send(
      encodeFrame({type: RESPONSE_FRAME, requestId: receivedId, body}),
    );
    await until(() => outcome.value !== undefined, 'the response arrives');
    assert.deepEqual(outcome.value, body);
  });

  // Guards against requests that wait for a decision which was sent over the previous connection and lost.
  it('is announced, although the peer neither closed nor opened', async () => {
    const changes: unknown[] = [];
    await connect(1);
    a.network.onDidChangePeer((peer, isOpen) => changes.push([peer, isOpen]));
    a.network.onDidReplaceConnection(peer => changes.push(peer));
    await connect(1);
    await until(() => changes.length > 0, 'the replacement is announced');
    assert.deepEqual(changes, ['x']);
  });

  it('does not fail requests of the newer connection when the old one closes', async () => {
    // The old connection closes after a request was sent over the new one.
    // Failing that request too would abandon a call that is still running.
    const oldConnection = await connect(1);
    oldConnection.socket.pause();
    const newerConnection = await connect(1);
    const outcome = await requestOver(newerConnection);
    const closed = new Promise(resolve =>
      oldConnection.socket.once('close', resolve),
    );
    oldConnection.socket.resume();
    await closed;
    const {requestId: receivedId} = newerConnection.receivedFrames.at(-1)!;
    const body = {heardAgoMs: 5};
    newerConnection.socket.send(
      encodeFrame({type: RESPONSE_FRAME, requestId: receivedId, body}),
    );
    await until(() => outcome.value !== undefined, 'the response arrives');
    assert.deepEqual(outcome.value, body);
  });
});
