import assert from 'node:assert/strict';
import {randomBytes} from 'node:crypto';
import net from 'node:net';
import {after, before, describe, it} from 'node:test';
import {WebSocket} from 'ws';
import {PROTOCOL_VERSION, encodeFrame} from '../index.js';
import {HELLO_FRAME} from '../codec.js';
import {KEY, startPeer, type TestPeer} from './peers.js';
import {until} from './until.js';

const LIMITS = {
  maxMessageBytes: 10_000,
  messagesPerSecond: 100,
  messageBurst: 200,
  maxHandshakes: 4,
  handshakeTimeoutMs: 300,
};

function encodeHello(body: object): Buffer {
  return encodeFrame({type: HELLO_FRAME, requestId: 0, body});
}

const VALID_HELLO = encodeHello({
  id: 'x',
  incarnation: 1,
  protocolVersion: PROTOCOL_VERSION,
});

interface HostileCase {
  readonly name: string;
  readonly key?: string;
  readonly path?: string;
  /** Frames that the client sends. */
  readonly frames: readonly (Buffer | string)[];
}

/** Each of these clients must be counted as rejected and disconnected. */
const CASES: readonly HostileCase[] = [
  {name: 'a wrong key', key: 'guessed', frames: []},
  {name: 'an empty key', key: '', frames: []},
  {name: 'another path', path: '/admin', frames: []},
  {name: 'silence after connecting', frames: []},
  {name: 'random bytes instead of a hello', frames: [randomBytes(64)]},
  {name: 'a text frame instead of a hello', frames: ['hello']},
  {
    name: 'a message before the hello',
    frames: [encodeFrame({type: 'heartbeat', requestId: 0, body: {}})],
  },
  {
    name: 'an incompatible protocol version',
    frames: [
      encodeHello({
        id: 'x',
        incarnation: 1,
        protocolVersion: PROTOCOL_VERSION + 2,
      }),
    ],
  },
  {
    name: 'a hello without an id',
    frames: [encodeHello({incarnation: 1, protocolVersion: PROTOCOL_VERSION})],
  },
  {
    name: 'the id of the receiver',
    frames: [
      encodeHello({id: 'a', incarnation: 9, protocolVersion: PROTOCOL_VERSION}),
    ],
  },
  {
    name: 'truncated msgpack',
    frames: [VALID_HELLO, VALID_HELLO.subarray(0, 9)],
  },
  {
    name: 'a frame without three fields',
    frames: [VALID_HELLO, Buffer.from([1])],
  },
  {name: 'a text message', frames: [VALID_HELLO, 'text']},
  {name: 'an oversized message', frames: [VALID_HELLO, Buffer.alloc(20_000)]},
  {
    name: 'a flood of messages',
    frames: [
      VALID_HELLO,
      ...new Array<Buffer>(400).fill(
        encodeFrame({type: 'unknownMessage', requestId: 0, body: 0}),
      ),
    ],
  },
];

/** Connects, sends the frames and resolves when the connection closes. */
function runHostileClient(
  url: string,
  hostileCase: HostileCase,
): Promise<void> {
  return new Promise(resolve => {
    const socket = new WebSocket(new URL(hostileCase.path ?? '/peers', url), {
      headers: {authorization: `Bearer ${hostileCase.key ?? KEY}`},
    });
    socket.on('open', () =>
      hostileCase.frames.forEach(frame => socket.send(frame)),
    );
    socket.on('error', () => {});
    socket.on('close', () => resolve());
  });
}

describe('hostile input on the inner port', () => {
  // The inner port is reachable from the whole network: by scanners, old
  // releases and faulty processes. None of them may disrupt an entry or a peer.
  let a: TestPeer;
  let b: TestPeer;

  before(async () => {
    a = await startPeer('a', {limits: LIMITS});
    b = await startPeer('b');
    b.network.setPeers([a.address]);
    await until(
      () => a.network.connectedPeers().includes('b'),
      'b is connected',
    );
  });

  after(() => {
    a.network.dispose();
    b.network.dispose();
  });

  for (const hostileCase of CASES) {
    it(`disconnects on ${hostileCase.name} and keeps serving a valid peer`, async () => {
      const rejectedBefore = a.network.traffic().rejected;
      await runHostileClient(a.address.url, hostileCase);
      await until(
        () => a.network.traffic().rejected > rejectedBefore,
        'the rejection is counted',
      );
      await until(
        () => !a.network.connectedPeers().includes('x'),
        'x is disconnected',
      );
      assert.ok(a.network.connectedPeers().includes('b'));
      const response = b.network.request(
        'a',
        'recordsWanted',
        {known: []},
        2_000,
      );
      await assert.rejects(response, {
        kind: 'protocol-violation',
        run: 'not-run',
      });
    });
  }

  it('limits the connections that never send a hello', async () => {
    // A client opens many connections and sends nothing: without a limit,
    // memory and file handles run out and no peer can connect.
    const sockets = Array.from({length: 20}, () => {
      const socket = new WebSocket(new URL('/peers', a.address.url), {
        headers: {authorization: `Bearer ${KEY}`},
      });
      socket.on('error', () => {});
      return socket;
    });
    const isSettled = (socket: WebSocket) =>
      socket.readyState !== WebSocket.CONNECTING;
    await until(
      () => sockets.every(isSettled),
      'all handshakes got a response',
    );
    const {handshakes} = a.network.dump() as {handshakes: number};
    assert.ok(handshakes <= LIMITS.maxHandshakes);
    await until(
      () => sockets.every(socket => socket.readyState === WebSocket.CLOSED),
      'all sockets are closed',
    );
  });

  it('closes a connection without a complete request', async () => {
    // A port scanner connects and sends no complete request.
    const {hostname, port} = new URL(a.address.url);
    const socket = net.connect(Number(port), hostname);
    socket.write('GET /peers HTTP/1.1\r\n');
    socket.resume();
    await new Promise(resolve => socket.once('close', resolve));
    assert.ok(a.network.connectedPeers().includes('b'));
  });
});
