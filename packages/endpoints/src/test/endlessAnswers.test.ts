import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {describe, it} from 'node:test';
import {createHttpEngine, type HttpEngine} from '../index.js';

/** Bytes after which a flood ends, so that a failing test ends too. */
const MAX_FLOOD_BYTES = 64 * 1024 * 1024;
/** Bytes that a client may take in, with those that the sockets buffer. */
const MAX_TAKEN_BYTES = MAX_FLOOD_BYTES / 4;

const CHUNKS = 'Transfer-Encoding: chunked\r\n\r\n';
const ok = (headers: string) => `HTTP/1.1 200 OK\r\n${headers}`;
const failed = (headers: string) =>
  `HTTP/1.1 500 Internal Server Error\r\n${headers}`;

const BODIES: readonly (readonly [string, string, string])[] = [
  ['in chunks', CHUNKS, `1000\r\n${' '.repeat(0x1000)}\r\n`],
  ['in chunks of one byte', CHUNKS, '1\r\n \r\n'],
  ['without a length', 'Connection: close\r\n\r\n', ' '],
  ['of great length', 'Content-Length: 1000000000000\r\n\r\n', ' '],
];

const generationRequest = {
  attempt: 'a1',
  prompt: 'p',
  maxTokens: 4,
  urgency: 2,
  delivered: [],
  seed: 1,
};

async function readEvents(engine: HttpEngine): Promise<void> {
  const {signal} = new AbortController();
  for await (const event of engine.generate(generationRequest, signal)) {
    assert.fail(`received ${event.type}`);
  }
}

const RUNNING_BODY = '{"version":"v1","adapters":[],"role":"any"}';
const RUNNING_STATE = ok(
  `Content-Length: ${RUNNING_BODY.length}\r\n\r\n${RUNNING_BODY}`,
);

/** Plays an engine that sends `repeated` after `start` again and again. */
async function withFlood(
  start: string,
  repeated: string,
  run: (engine: HttpEngine) => Promise<void>,
): Promise<number> {
  const block = repeated.repeat(Math.ceil(65_536 / repeated.length));
  const sockets = new Set<Socket>();
  let sentBytes = 0;
  const server = createServer(socket => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.on('data', request => {
      if (request.includes('/v1/running')) {
        socket.write(RUNNING_STATE);
        return;
      }
      socket.write(start);
      function send(): void {
        while (sentBytes < MAX_FLOOD_BYTES && !socket.destroyed) {
          sentBytes += block.length;
          if (!socket.write(block)) {
            socket.once('drain', send);
            return;
          }
        }
        socket.destroy();
      }
      send();
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const engine = createHttpEngine({
    url: `http://127.0.0.1:${port}`,
    callTimeoutMs: 5_000,
  });
  try {
    const flooded = run(engine);
    const others = await Promise.all([
      engine.readRunningState(),
      flooded.then(() => engine.readRunningState()),
    ]);
    assert.deepEqual(
      others.map(({version}) => version),
      ['v1', 'v1'],
    );
    return sentBytes;
  } finally {
    engine.dispose();
    server.close();
    sockets.forEach(socket => socket.destroy());
  }
}

describe('answers without end of an engine', {timeout: 60_000}, () => {
  for (const [name, headers, repeated] of BODIES) {
    // Guards against load reports that are kept until the process has no memory.
    it(`end a load report ${name}`, async () => {
      const takenBytes = await withFlood(ok(headers), repeated, engine =>
        assert.rejects(engine.load(), {kind: 'protocol-violation'}),
      );
      assert.ok(takenBytes <= MAX_TAKEN_BYTES, `${takenBytes} bytes`);
    });

    // Guards against error responses that are kept until the process has no memory.
    it(`end an error response ${name}`, async () => {
      const takenBytes = await withFlood(failed(headers), repeated, engine =>
        assert.rejects(readEvents(engine), {
          kind: 'endpoint-failed',
          run: 'may-have-run',
        }),
      );
      assert.ok(takenBytes <= MAX_TAKEN_BYTES, `${takenBytes} bytes`);
    });
  }

  // Guards against an event that is kept until its lines end.
  it('end an event of many lines', async () => {
    const takenBytes = await withFlood(
      ok('Connection: close\r\n\r\n'),
      'data: x\n',
      engine =>
        assert.rejects(readEvents(engine), {kind: 'protocol-violation'}),
    );
    assert.ok(takenBytes <= MAX_TAKEN_BYTES, `${takenBytes} bytes`);
  });
});
