import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';
import {WebSocket, WebSocketServer, type RawData} from 'ws';
import {
  PROTOCOL_VERSION,
  decodeFrame,
  encodeFrame,
  type Frame,
} from '../index.js';
import {ANSWER, FAILURE, HELLO} from '../codec.js';
import {KEY, startPeer, type TestPeer} from './peers.js';
import {until} from './until.js';

interface VersionCase {
  readonly name: string;
  readonly protocolVersion: number | undefined;
  readonly isTaken: boolean;
}

const VERSIONS: readonly VersionCase[] = [
  {name: 'the same', protocolVersion: PROTOCOL_VERSION, isTaken: true},
  {name: 'the next', protocolVersion: PROTOCOL_VERSION + 1, isTaken: true},
  {
    name: 'the one before',
    protocolVersion: PROTOCOL_VERSION - 1,
    isTaken: true,
  },
  {name: 'two above', protocolVersion: PROTOCOL_VERSION + 2, isTaken: false},
  {name: 'two below', protocolVersion: PROTOCOL_VERSION - 2, isTaken: false},
  {name: 'a missing', protocolVersion: undefined, isTaken: false},
];

function helloOf(protocolVersion: number | undefined, more = {}): Buffer {
  const body = {id: 'x', incarnation: 1, protocolVersion, ...more};
  return encodeFrame({type: HELLO, ask: 0, body});
}

/** A peer of another release: a bare socket that says what it is told to. */
interface OtherRelease {
  readonly socket: WebSocket;
  readonly heard: Frame[];
  say(frame: Frame): void;
}

function dial(url: string, hello: Buffer): OtherRelease {
  const socket = new WebSocket(new URL('/peers', url), {
    headers: {authorization: `Bearer ${KEY}`},
  });
  const heard: Frame[] = [];
  socket.on('open', () => socket.send(hello));
  socket.on('message', (data: RawData) =>
    heard.push(decodeFrame(data as Buffer)),
  );
  socket.on('error', () => {});
  return {socket, heard, say: frame => socket.send(encodeFrame(frame))};
}

describe('releases side by side', () => {
  // During a rolling restart entries of two releases talk to each other. If
  // one cut the other for a message or field that it does not know, the fleet
  // would fall apart in two, and callers would be sent to entries that know
  // half of the members and records.
  let a: TestPeer;

  before(async () => {
    a = await startPeer('a');
  });

  after(() => a.network.dispose());

  async function join(hello: Buffer): Promise<OtherRelease> {
    const other = dial(a.address.url, hello);
    await until(() => a.network.connected().includes('x'), 'x is connected');
    await until(() => other.heard.length > 0, 'x was greeted');
    return other;
  }

  async function leave(other: OtherRelease): Promise<void> {
    other.socket.close();
    await until(() => !a.network.connected().includes('x'), 'x is gone');
  }

  for (const {name, protocolVersion, isTaken} of VERSIONS) {
    it(`${isTaken ? 'takes' : 'refuses'} a dialling peer of ${name} version`, async () => {
      const before = a.network.traffic().rejected;
      const other = dial(a.address.url, helloOf(protocolVersion));
      if (isTaken) {
        await until(() => a.network.connected().includes('x'), 'connected');
        assert.equal(a.network.traffic().rejected, before);
        await leave(other);
        return;
      }
      await until(() => other.socket.readyState === WebSocket.CLOSED, 'cut');
      assert.deepEqual(other.heard, []);
      assert.equal(a.network.traffic().rejected, before + 1);
      assert.deepEqual(a.network.connected(), []);
    });

    it(`${isTaken ? 'takes' : 'refuses'} an accepting peer of ${name} version`, async () => {
      const server = new WebSocketServer({host: '127.0.0.1', port: 0});
      await new Promise(resolve => server.once('listening', resolve));
      const hello = helloOf(protocolVersion, {key: KEY});
      server.on('connection', socket =>
        socket.once('message', () => socket.send(hello)),
      );
      const {port} = server.address() as {port: number};
      const dialled = a.network.dial(`ws://127.0.0.1:${port}`);
      if (isTaken) {
        assert.equal(await dialled, 'x');
      } else {
        await assert.rejects(dialled, {kind: 'interrupted', run: 'not-run'});
        assert.deepEqual(a.network.connected(), []);
      }
      server.clients.forEach(client => client.terminate());
      server.close();
      await until(() => a.network.connected().length === 0, 'x is gone');
    });
  }

  it('counts and ignores a message of an unknown type', async () => {
    const other = await join(helloOf(PROTOCOL_VERSION + 1));
    const before = a.network.traffic().rejected;
    other.say({type: 'ofTheNextRelease', ask: 0, body: {a: 1}});
    other.say({type: 'askedByTheNextRelease', ask: 7, body: {a: 1}});
    await until(() => other.heard.length === 2, 'the question was answered');
    assert.equal(a.network.traffic().rejected, before + 2);
    const {type, ask, body} = other.heard[1]!;
    assert.deepEqual({type, ask}, {type: FAILURE, ask: 7});
    const {kind, run} = body as {kind: string; run: string};
    assert.deepEqual({kind, run}, {kind: 'protocol-violation', run: 'not-run'});
    assert.ok(a.network.connected().includes('x'));
    await leave(other);
  });

  it('hands on a body with a field that it does not know', async () => {
    const other = await join(helloOf(PROTOCOL_VERSION, {ofTheNext: true}));
    const seen: object[] = [];
    const handling = a.network.onDidReceive('memberWord', (_, body) => {
      seen.push(body);
      return {heardAgoMs: 5};
    });
    const before = a.network.traffic().rejected;
    const body = {id: 'b', incarnation: 1, ofTheNext: [1, {deep: true}]};
    other.say({type: 'memberWord', ask: 3, body});
    await until(() => other.heard.length === 2, 'the question was answered');
    assert.deepEqual(other.heard[1], {
      type: ANSWER,
      ask: 3,
      body: {heardAgoMs: 5},
    });
    assert.deepEqual(seen, [body]);
    assert.equal(a.network.traffic().rejected, before);
    assert.ok(a.network.connected().includes('x'));
    handling.dispose();
    await leave(other);
  });

  it('reads an answer with a field that it does not know', async () => {
    const other = await join(helloOf(PROTOCOL_VERSION));
    other.socket.on('message', (data: RawData) => {
      const {ask} = decodeFrame(data as Buffer);
      other.say({type: ANSWER, ask, body: {heardAgoMs: 5, ofTheNext: 1}});
    });
    const asked = {id: 'b', incarnation: 1};
    const answer = await a.network.ask('x', 'memberWord', asked, 2_000);
    assert.equal((answer as {heardAgoMs: number}).heardAgoMs, 5);
    assert.ok(a.network.connected().includes('x'));
    await leave(other);
  });

  it('claims nothing for a failure of an unknown kind', async () => {
    // The next release may have a new error kind. Read as "not run", the
    // asker would send a call again that its peer has run.
    const other = await join(helloOf(PROTOCOL_VERSION + 1));
    other.socket.on('message', (data: RawData) => {
      const {ask} = decodeFrame(data as Buffer);
      const body = {kind: 'of-the-next', message: 'new', run: 'not-run'};
      other.say({type: FAILURE, ask, body});
    });
    const asked = {id: 'b', incarnation: 1};
    await assert.rejects(a.network.ask('x', 'memberWord', asked, 2_000), {
      kind: 'protocol-violation',
      run: 'may-have-run',
    });
    await leave(other);
  });
});
