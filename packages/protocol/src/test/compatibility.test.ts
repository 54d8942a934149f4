import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';
import {WebSocket, WebSocketServer, type RawData} from 'ws';
import {
  PROTOCOL_VERSION,
  decodeFrame,
  encodeFrame,
  type Frame,
} from '../index.js';
import {RESPONSE_FRAME, ERROR_FRAME, HELLO_FRAME} from '../codec.js';
import {KEY, startPeer, type TestPeer} from './peers.js';
import {until} from './until.js';

interface VersionCase {
  readonly name: string;
  readonly protocolVersion: number | undefined;
  readonly isAccepted: boolean;
}

const VERSIONS: readonly VersionCase[] = [
  {name: 'the same', protocolVersion: PROTOCOL_VERSION, isAccepted: true},
  {name: 'the next', protocolVersion: PROTOCOL_VERSION + 1, isAccepted: true},
  {
    name: 'the previous',
    protocolVersion: PROTOCOL_VERSION - 1,
    isAccepted: true,
  },
  {name: 'two above', protocolVersion: PROTOCOL_VERSION + 2, isAccepted: false},
  {name: 'two below', protocolVersion: PROTOCOL_VERSION - 2, isAccepted: false},
  {name: 'a missing', protocolVersion: undefined, isAccepted: false},
];

function encodeHello(
  protocolVersion: number | undefined,
  extraFields = {},
): Buffer {
  const body = {id: 'x', incarnation: 1, protocolVersion, ...extraFields};
  return encodeFrame({type: HELLO_FRAME, requestId: 0, body});
}

/** A peer of another release: a raw socket controlled by the test. */
interface OtherReleasePeer {
  readonly socket: WebSocket;
  readonly receivedFrames: Frame[];
  send(frame: Frame): void;
}

function dial(url: string, hello: Buffer): OtherReleasePeer {
  const socket = new WebSocket(new URL('/peers', url), {
    headers: {authorization: `Bearer ${KEY}`},
  });
  const receivedFrames: Frame[] = [];
  socket.on('open', () => socket.send(hello));
  socket.on('message', (data: RawData) =>
    receivedFrames.push(decodeFrame(data as Buffer)),
  );
  socket.on('error', () => {});
  return {
    socket,
    receivedFrames,
    send: frame => socket.send(encodeFrame(frame)),
  };
}

describe('compatibility of adjacent releases', () => {
  // During a rolling restart, entries of two releases exchange messages. If one
  // entry disconnected the other because of an unknown message or field, the
  // fleet would be partitioned, and callers would be sent to entries that have
  // only half of the members and records.
  let a: TestPeer;

  before(async () => {
    a = await startPeer('a');
  });

  after(() => a.network.dispose());

  async function join(hello: Buffer): Promise<OtherReleasePeer> {
    const otherPeer = dial(a.address.url, hello);
    await until(
      () => a.network.connectedPeers().includes('x'),
      'x is connected',
    );
    await until(
      () => otherPeer.receivedFrames.length > 0,
      'x received the hello',
    );
    return otherPeer;
  }

  async function leave(otherPeer: OtherReleasePeer): Promise<void> {
    otherPeer.socket.close();
    await until(
      () => !a.network.connectedPeers().includes('x'),
      'x is disconnected',
    );
  }

  for (const {name, protocolVersion, isAccepted} of VERSIONS) {
    it(`${isAccepted ? 'accepts' : 'rejects'} a dialing peer of ${name} version`, async () => {
      const rejectedBefore = a.network.traffic().rejected;
      const otherPeer = dial(a.address.url, encodeHello(protocolVersion));
      if (isAccepted) {
        await until(
          () => a.network.connectedPeers().includes('x'),
          'x is connected',
        );
        assert.equal(a.network.traffic().rejected, rejectedBefore);
        await leave(otherPeer);
        return;
      }
      await until(
        () => otherPeer.socket.readyState === WebSocket.CLOSED,
        'x is closed',
      );
      assert.deepEqual(otherPeer.receivedFrames, []);
      assert.equal(a.network.traffic().rejected, rejectedBefore + 1);
      assert.deepEqual(a.network.connectedPeers(), []);
    });

    it(`${isAccepted ? 'connects to' : 'rejects'} an accepting peer of ${name} version`, async () => {
      const server = new WebSocketServer({host: '127.0.0.1', port: 0});
      await new Promise(resolve => server.once('listening', resolve));
      const hello = encodeHello(protocolVersion, {key: KEY});
      server.on('connection', socket =>
        socket.once('message', () => socket.send(hello)),
      );
      const {port} = server.address() as {port: number};
      const dialResult = a.network.dial(`ws://127.0.0.1:${port}`);
      if (isAccepted) {
        assert.equal(await dialResult, 'x');
      } else {
        await assert.rejects(dialResult, {kind: 'interrupted', run: 'not-run'});
        assert.deepEqual(a.network.connectedPeers(), []);
      }
      server.clients.forEach(client => client.terminate());
      server.close();
      await until(
        () => a.network.connectedPeers().length === 0,
        'x is disconnected',
      );
    });
  }

  it('counts and ignores messages of unknown types', async () => {
    const otherPeer = await join(encodeHello(PROTOCOL_VERSION + 1));
    const rejectedBefore = a.network.traffic().rejected;
    otherPeer.send({type: 'unknownMessage', requestId: 0, body: {a: 1}});
    otherPeer.send({type: 'unknownRequest', requestId: 7, body: {a: 1}});
    await until(
      () => otherPeer.receivedFrames.length === 2,
      'the response arrives',
    );
    assert.equal(a.network.traffic().rejected, rejectedBefore + 2);
    const {type, requestId: receivedId, body} = otherPeer.receivedFrames[1]!;
    assert.deepEqual({type, receivedId}, {type: ERROR_FRAME, receivedId: 7});
    const {kind, run} = body as {kind: string; run: string};
    assert.deepEqual({kind, run}, {kind: 'protocol-violation', run: 'not-run'});
    assert.ok(a.network.connectedPeers().includes('x'));
    await leave(otherPeer);
  });

  it('passes a body with an unknown field to the handler', async () => {
    const otherPeer = await join(
      encodeHello(PROTOCOL_VERSION, {unknownField: true}),
    );
    const receivedBodies: object[] = [];
    const subscription = a.network.addHandler('memberWord', (_, body) => {
      receivedBodies.push(body);
      return {heardAgoMs: 5};
    });
    const rejectedBefore = a.network.traffic().rejected;
    const body = {id: 'b', incarnation: 1, unknownField: [1, {nested: true}]};
    otherPeer.send({type: 'memberWord', requestId: 3, body});
    await until(
      () => otherPeer.receivedFrames.length === 2,
      'the response arrives',
    );
    assert.deepEqual(otherPeer.receivedFrames[1], {
      type: RESPONSE_FRAME,
      requestId: 3,
      body: {heardAgoMs: 5},
    });
    assert.deepEqual(receivedBodies, [body]);
    assert.equal(a.network.traffic().rejected, rejectedBefore);
    assert.ok(a.network.connectedPeers().includes('x'));
    subscription.dispose();
    await leave(otherPeer);
  });

  it('accepts a response with an unknown field', async () => {
    const otherPeer = await join(encodeHello(PROTOCOL_VERSION));
    otherPeer.socket.on('message', (data: RawData) => {
      const {requestId: receivedId} = decodeFrame(data as Buffer);
      otherPeer.send({
        type: RESPONSE_FRAME,
        requestId: receivedId,
        body: {heardAgoMs: 5, unknownField: 1},
      });
    });
    const requestBody = {id: 'b', incarnation: 1};
    const response = await a.network.request(
      'x',
      'memberWord',
      requestBody,
      2_000,
    );
    assert.equal((response as {heardAgoMs: number}).heardAgoMs, 5);
    assert.ok(a.network.connectedPeers().includes('x'));
    await leave(otherPeer);
  });

  it('reports that a request may have run on an unknown error kind', async () => {
    // The next release may add an error kind. If an unknown kind were
    // taken as `not-run`, the sender would retry a call that its peer has run.
    const otherPeer = await join(encodeHello(PROTOCOL_VERSION + 1));
    otherPeer.socket.on('message', (data: RawData) => {
      const {requestId: receivedId} = decodeFrame(data as Buffer);
      const body = {kind: 'unknown-kind', message: 'new', run: 'not-run'};
      otherPeer.send({type: ERROR_FRAME, requestId: receivedId, body});
    });
    const requestBody = {id: 'b', incarnation: 1};
    await assert.rejects(
      a.network.request('x', 'memberWord', requestBody, 2_000),
      {
        kind: 'protocol-violation',
        run: 'may-have-run',
      },
    );
    await leave(otherPeer);
  });
});
