import assert from 'node:assert/strict';
import {
  createServer as createHttpServer,
  type RequestListener,
} from 'node:http';
import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import {describe, it, type TestContext} from 'node:test';
import {ServingError} from '@skylarkfield/base';
import {
  createHttpPlainService,
  passedHeaders,
  type HttpPlainServiceOptions,
  type ServiceCall,
} from '../index.js';

const booking: ServiceCall = {
  method: 'POST',
  path: '/bookings',
  headers: {
    'content-type': 'application/json',
    connection: 'x-hop',
    'x-hop': '1',
  },
  body: new TextEncoder().encode('{"id":1}'),
};

async function listen(test: TestContext, server: Server): Promise<string> {
  const sockets = new Set<Socket>();
  server.on('connection', (socket: Socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  test.after(() => {
    sockets.forEach(socket => socket.destroy());
    server.close();
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function client(test: TestContext, options: HttpPlainServiceOptions) {
  const service = createHttpPlainService(options);
  test.after(() => service.dispose());
  return service;
}

async function errorOf(call: Promise<unknown>): Promise<ServingError> {
  try {
    await call;
  } catch (error) {
    assert.ok(error instanceof ServingError, String(error));
    return error;
  }
  return assert.fail('the call succeeded');
}

/** A signal that never aborts. */
const never = new AbortController().signal;

describe('plain service client', () => {
  it('passes a call through without connection headers', async test => {
    const seen: Array<Record<string, unknown>> = [];
    const answer: RequestListener = (request, response) => {
      seen.push(request.headers);
      response.setHeader('keep-alive', 'timeout=5');
      response.setHeader('x-kept', 'yes');
      response.statusCode = 201;
      request.pipe(response);
    };
    const url = await listen(test, createHttpServer(answer));
    const reply = await client(test, {url}).call(booking, never);
    assert.equal(reply.status, 201);
    assert.equal(new TextDecoder().decode(reply.body), '{"id":1}');
    assert.equal(reply.headers['x-kept'], 'yes');
    assert.equal(reply.headers['keep-alive'], undefined);
    assert.equal(seen[0]?.['x-hop'], undefined);
  });

  it('reads the load report and names what is wrong with a bad one', async test => {
    let body = '{"sequence":3,"running":1,"waiting":0,"slots":4}';
    const url = await listen(
      test,
      createHttpServer((_request, response) => response.end(body)),
    );
    const service = client(test, {url});
    assert.equal((await service.load()).slots, 4);
    body = '{"sequence":"x"}';
    const error = await errorOf(service.load());
    assert.equal(error.kind, 'endpoint-failed');
    assert.ok(error.faults.some(fault => fault.path === 'slots'));
  });
});

// The endpoint dies, refuses or cuts the connection at some point of a booking. If the client
// takes a sent call for an unsent one, the order runs again elsewhere and two crews arrive; if it
// takes an unsent one for a sent one, the caller is told that a harmless refusal may have run.
describe('plain service client under faults', () => {
  const faults: Array<{
    name: string;
    onSocket: (socket: Socket) => void;
    expected: {kind: string; run: string};
  }> = [
    {
      name: 'cut after the call was read',
      onSocket: socket => socket.once('data', () => socket.destroy()),
      expected: {kind: 'outcome-unknown', run: 'may-have-run'},
    },
    {
      name: 'cut within the status line',
      onSocket: socket => socket.once('data', () => socket.end('HTTP/1.1 20')),
      expected: {kind: 'outcome-unknown', run: 'may-have-run'},
    },
    {
      name: 'cut within the reply body',
      onSocket: socket =>
        socket.once('data', () =>
          socket.end('HTTP/1.1 201 Created\r\ncontent-length: 10\r\n\r\nhalf'),
        ),
      expected: {kind: 'outcome-unknown', run: 'may-have-run'},
    },
    {
      name: 'answer that is not HTTP',
      onSocket: socket => socket.once('data', () => socket.end('no\r\n\r\n')),
      expected: {kind: 'outcome-unknown', run: 'may-have-run'},
    },
    {
      name: 'silence after the call was read',
      onSocket: () => undefined,
      expected: {kind: 'outcome-unknown', run: 'may-have-run'},
    },
  ];
  for (const fault of faults) {
    it(`tells the run state after a ${fault.name}`, async test => {
      const url = await listen(test, createServer(fault.onSocket));
      const service = client(test, {url, silenceTimeoutMs: 150});
      const error = await errorOf(service.call(booking, never));
      assert.deepEqual({kind: error.kind, run: error.run}, fault.expected);
    });
  }

  it('says not-run when the connection is refused', async test => {
    const server = createServer();
    const url = await listen(test, server);
    await new Promise(resolve => server.close(resolve));
    const error = await errorOf(client(test, {url}).call(booking, never));
    assert.equal(error.kind, 'endpoint-unavailable');
    assert.equal(error.run, 'not-run');
  });

  // A pooled connection is closed by the endpoint in the moment in which the next booking is
  // written to it. A client that sends it again by itself may double the booking.
  it('sends a call at most once when a pooled connection closes under it', async test => {
    let calls = 0;
    const url = await listen(
      test,
      createServer(socket =>
        socket.on('data', () => {
          calls += 1;
          if (calls === 1) {
            socket.write('HTTP/1.1 201 Created\r\ncontent-length: 0\r\n\r\n');
            return;
          }
          socket.destroy();
        }),
      ),
    );
    const service = client(test, {url, connections: 1});
    await service.call(booking, never);
    const error = await errorOf(service.call(booking, never));
    assert.equal(error.kind, 'outcome-unknown');
    assert.equal(calls, 2);
  });

  // A caller gives up while its booking still waits for a connection, and is told `not-run`. When
  // the connection becomes free the booking must not go out after all.
  it('keeps a call back that was cancelled while it waited for a connection', async test => {
    const seen: string[] = [];
    const answer: RequestListener = (request, response) => {
      seen.push(request.url ?? '');
      if (request.url !== '/first') {
        response.end();
      }
    };
    const url = await listen(test, createHttpServer(answer));
    const service = client(test, {url, connections: 1});
    const [first, second] = [new AbortController(), new AbortController()];
    const running = errorOf(
      service.call({...booking, path: '/first'}, first.signal),
    );
    const waiting = errorOf(
      service.call({...booking, path: '/second'}, second.signal),
    );
    while (seen.length === 0) {
      await new Promise(resolve => setImmediate(resolve));
    }
    second.abort();
    assert.equal((await waiting).run, 'not-run');
    const third = service.call({...booking, path: '/third'}, never);
    first.abort();
    assert.equal((await running).run, 'may-have-run');
    await third;
    assert.deepEqual(seen, ['/first', '/third']);
  });

  it('gives up a reply above the bound', async test => {
    const url = await listen(
      test,
      createHttpServer((_request, response) => response.end('x'.repeat(2_000))),
    );
    const service = client(test, {url, maxReplyBytes: 1_000});
    const error = await errorOf(service.call(booking, never));
    assert.equal(error.kind, 'outcome-unknown');
  });

  it('refuses a header that cannot be sent as not run', async test => {
    const service = client(test, {url: 'http://127.0.0.1:9'});
    const bad = {...booking, headers: {'x-bad': 'a\r\nb: c'}};
    const error = await errorOf(service.call(bad, never));
    assert.equal(error.run, 'not-run');
    assert.equal(error.kind, 'bad-request');
  });
});

describe('passed headers', () => {
  it('drops what the connection header names', () => {
    const passed = passedHeaders({
      Connection: 'close, X-Hop',
      'x-hop': '1',
      Accept: ['a', 'b'],
    });
    assert.deepEqual(passed, {accept: 'a, b'});
  });
});
