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
import {ANSWER, HELLO} from '../codec.js';
import {KEY, startPeer, type TestPeer} from './peers.js';
import {until} from './until.js';

const LONG_MS = 60_000;
const QUESTION = {id: 'b', incarnation: 1};

/** The end of one connection of peer x, which does what a test says. */
interface RawEnd {
  readonly socket: WebSocket;
  readonly heard: Frame[];
}

describe('a connection that a newer one replaces', () => {
  let a: TestPeer;
  let ends: RawEnd[];

  beforeEach(async () => {
    a = await startPeer('a');
    ends = [];
  });

  afterEach(() => {
    a.network.dispose();
    ends.forEach(end => end.socket.terminate());
  });

  async function connect(incarnation: number): Promise<RawEnd> {
    const socket = new WebSocket(new URL('/peers', a.address.url), {
      headers: {authorization: `Bearer ${KEY}`},
    });
    const heard: Frame[] = [];
    const body = {id: 'x', incarnation, protocolVersion: PROTOCOL_VERSION};
    socket.on('open', () =>
      socket.send(encodeFrame({type: HELLO, ask: 0, body})),
    );
    socket.on('message', (data: RawData) =>
      heard.push(decodeFrame(data as Buffer)),
    );
    socket.on('error', () => {});
    ends.push({socket, heard});
    await until(() => heard.length > 0, 'x was greeted');
    return {socket, heard};
  }

  /** Asks x over its newest connection, and waits until the question is there. */
  async function askOver(end: RawEnd) {
    const outcome: {value?: unknown} = {};
    const before = end.heard.length;
    a.network.ask('x', 'memberWord', QUESTION, LONG_MS).then(
      answer => (outcome.value = answer),
      error => (outcome.value = error),
    );
    await until(() => end.heard.length > before, 'the question arrives');
    return outcome;
  }

  it('fails its questions when it closes', async () => {
    // A peer dials again, as after a break on the way, and closes its old end
    // with a question unanswered. The asker would wait for its whole timeout
    // for an answer that can't come, and its caller with it.
    const old = await connect(1);
    const outcome = await askOver(old);
    await connect(1);
    await until(() => outcome.value !== undefined, 'the question fails');
    const {kind, run} = outcome.value as ServingError;
    assert.deepEqual({kind, run}, {kind: 'interrupted', run: 'may-have-run'});
  });

  it('fails its questions at once when the peer has started anew', async () => {
    // The old process has ended with its host, so its end of the connection
    // never closes. Its successor has never seen the question.
    const old = await connect(1);
    const outcome = await askOver(old);
    old.socket.pause();
    await connect(2);
    await until(() => outcome.value !== undefined, 'the question fails');
    const {kind, run} = outcome.value as ServingError;
    assert.deepEqual({kind, run}, {kind: 'interrupted', run: 'may-have-run'});
  });

  it('takes an answer that was on its way over it', async () => {
    // Two entries dial each other at once, and one connection replaces the
    // other while an answer is under way. Were it thrown away, a call that has
    // run would be answered with "may have run".
    const old = await connect(1);
    const outcome = await askOver(old);
    old.socket.pause();
    await connect(1);
    const {ask} = old.heard.at(-1)!;
    const body = {heardAgoMs: 5};
    old.socket.send(encodeFrame({type: ANSWER, ask, body}));
    await until(() => outcome.value !== undefined, 'the answer is taken');
    assert.deepEqual(outcome.value, body);
  });

  it('leaves questions over the newer connection alone', async () => {
    // The old connection closes after a question went out over the new one.
    // Failed with it, a call that is being worked on would be given up.
    const old = await connect(1);
    old.socket.pause();
    const newer = await connect(1);
    const outcome = await askOver(newer);
    const closed = new Promise(resolve => old.socket.once('close', resolve));
    old.socket.resume();
    await closed;
    const {ask} = newer.heard.at(-1)!;
    const body = {heardAgoMs: 5};
    newer.socket.send(encodeFrame({type: ANSWER, ask, body}));
    await until(() => outcome.value !== undefined, 'the answer is taken');
    assert.deepEqual(outcome.value, body);
  });
});
