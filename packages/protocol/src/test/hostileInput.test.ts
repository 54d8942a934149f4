import assert from 'node:assert/strict';
import {randomBytes} from 'node:crypto';
import net from 'node:net';
import {after, before, describe, it} from 'node:test';
import {WebSocket} from 'ws';
import {PROTOCOL_VERSION, encodeFrame} from '../index.js';
import {HELLO} from '../codec.js';
import {KEY, startPeer, type TestPeer} from './peers.js';
import {until} from './until.js';

const LIMITS = {
  messageBytes: 10_000,
  messagesPerSecond: 100,
  messageBurst: 200,
  handshakes: 4,
  handshakeMs: 300,
};

function hello(body: object): Buffer {
  return encodeFrame({type: HELLO, ask: 0, body});
}

const GOOD_HELLO = hello({
  id: 'x',
  incarnation: 1,
  protocolVersion: PROTOCOL_VERSION,
});

interface HostileCase {
  readonly name: string;
  readonly key?: string;
  readonly path?: string;
  /** What the client sends, frame by frame. */
  readonly frames: readonly (Buffer | string)[];
}

/** Each of these must be counted and cut while an honest peer goes on. */
const CASES: readonly HostileCase[] = [
  {name: 'a wrong key', key: 'guessed', frames: []},
  {name: 'an empty key', key: '', frames: []},
  {name: 'another path', path: '/admin', frames: []},
  {name: 'silence after connecting', frames: []},
  {name: 'random bytes for a hello', frames: [randomBytes(64)]},
  {name: 'a text frame for a hello', frames: ['hello']},
  {
    name: 'a message before the hello',
    frames: [encodeFrame({type: 'heartbeat', ask: 0, body: {}})],
  },
  {
    name: 'a protocol version too far away',
    frames: [
      hello({id: 'x', incarnation: 1, protocolVersion: PROTOCOL_VERSION + 2}),
    ],
  },
  {
    name: 'a hello without an id',
    frames: [hello({incarnation: 1, protocolVersion: PROTOCOL_VERSION})],
  },
  {
    name: 'the id of the receiver',
    frames: [
      hello({id: 'a', incarnation: 9, protocolVersion: PROTOCOL_VERSION}),
    ],
  },
  {name: 'truncated msgpack', frames: [GOOD_HELLO, GOOD_HELLO.subarray(0, 9)]},
  {name: 'a frame that is no triple', frames: [GOOD_HELLO, Buffer.from([1])]},
  {name: 'a text message', frames: [GOOD_HELLO, 'text']},
  {name: 'an oversize message', frames: [GOOD_HELLO, Buffer.alloc(20_000)]},
  {
    name: 'a flood of messages',
    frames: [
      GOOD_HELLO,
      ...new Array<Buffer>(400).fill(
        encodeFrame({type: 'nobody', ask: 0, body: 0}),
      ),
    ],
  },
];

function attack(url: string, hostile: HostileCase): Promise<void> {
  return new Promise(resolve => {
    const socket = new WebSocket(new URL(hostile.path ?? '/peers', url), {
      headers: {authorization: `Bearer ${hostile.key ?? KEY}`},
    });
    socket.on('open', () => hostile.frames.forEach(f => socket.send(f)));
    socket.on('error', () => {});
    socket.on('close', () => resolve());
  });
}

describe('hostile input on the inner port', () => {
  // The inner port is reachable by anything on the network: a scanner, an old
  // release, a broken process. None of them may stop an entry or its peers.
  let a: TestPeer;
  let b: TestPeer;

  before(async () => {
    a = await startPeer('a', {limits: LIMITS});
    b = await startPeer('b');
    b.network.setPeers([a.address]);
    await until(() => a.network.connected().includes('b'), 'b is connected');
  });

  after(() => {
    a.network.dispose();
    b.network.dispose();
  });

  for (const hostile of CASES) {
    it(`cuts ${hostile.name}, and serves its peer on`, async () => {
      const before = a.network.traffic().rejected;
      await attack(a.address.url, hostile);
      await until(() => a.network.traffic().rejected > before, 'counted');
      await until(() => !a.network.connected().includes('x'), 'cut');
      assert.ok(a.network.connected().includes('b'));
      const asked = b.network.ask('a', 'recordsWanted', {known: []}, 2_000);
      await assert.rejects(asked, {kind: 'protocol-violation', run: 'not-run'});
    });
  }

  it('bounds the connections that never say hello', async () => {
    // Something opens connection after connection and says nothing: without a
    // bound, memory and file handles run out and no peer gets in.
    const sockets = Array.from({length: 20}, () => {
      const socket = new WebSocket(new URL('/peers', a.address.url), {
        headers: {authorization: `Bearer ${KEY}`},
      });
      socket.on('error', () => {});
      return socket;
    });
    const isSettled = (socket: WebSocket) =>
      socket.readyState !== WebSocket.CONNECTING;
    await until(() => sockets.every(isSettled), 'all were answered');
    const {handshakes} = a.network.dump() as {handshakes: number};
    assert.ok(handshakes <= LIMITS.handshakes);
    await until(
      () => sockets.every(socket => socket.readyState === WebSocket.CLOSED),
      'all are closed',
    );
  });

  it('closes a connection that sends no request', async () => {
    // A port scanner connects and waits.
    const {hostname, port} = new URL(a.address.url);
    const socket = net.connect(Number(port), hostname);
    socket.write('GET /peers HTTP/1.1\r\n');
    socket.resume();
    await new Promise(resolve => socket.once('close', resolve));
    assert.ok(a.network.connected().includes('b'));
  });
});
