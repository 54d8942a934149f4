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
  parseRestMs,
  removeHopByHopHeaders,
  type HttpPlainServiceOptions,
  type ServiceCall,
} from '../index.js';

const bookingCall: ServiceCall = {
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

function createClient(test: TestContext, options: HttpPlainServiceOptions) {
  const service = createHttpPlainService(options);
  test.after(() => service.dispose());
  return service;
}

async function waitForRejection(call: Promise<unknown>): Promise<ServingError> {
  try {
    await call;
  } catch (error) {
    assert.ok(error instanceof ServingError, String(error));
    return error;
  }
  return assert.fail('the call succeeded');
}

/** A signal that never aborts. */
const neverAbortedSignal = new AbortController().signal;

describe('plain service client', () => {
  it('forwards a call without hop-by-hop headers', async test => {
    const receivedHeaders: Array<Record<string, unknown>> = [];
    const handleRequest: RequestListener = (request, response) => {
      receivedHeaders.push(request.headers);
      response.setHeader('keep-alive', 'timeout=5');
      response.setHeader('x-kept', 'yes');
      response.statusCode = 201;
      request.pipe(response);
    };
    const url = await listen(test, createHttpServer(handleRequest));
    const response = await createClient(test, {url}).call(
      bookingCall,
      neverAbortedSignal,
    );
    assert.equal(response.status, 201);
    assert.equal(new TextDecoder().decode(response.body), '{"id":1}');
    assert.equal(response.headers['x-kept'], 'yes');
    assert.equal(response.headers['keep-alive'], undefined);
    assert.equal(receivedHeaders[0]?.['x-hop'], undefined);
  });

  it('parses a load report and lists the faults of an invalid report', async test => {
    let body = '{"sequence":3,"running":1,"waiting":0,"slots":4}';
    const url = await listen(
      test,
      createHttpServer((_request, response) => response.end(body)),
    );
    const service = createClient(test, {url});
    assert.equal((await service.load()).slots, 4);
    body = '{"sequence":"x"}';
    const error = await waitForRejection(service.load());
    assert.equal(error.kind, 'endpoint-failed');
    assert.ok(error.faults.some(fault => fault.path === 'slots'));
  });
});

// The endpoint crashes, rejects or closes the connection at some point of a
// call. A sent call reported as unsent would run again elsewhere and double a
// booking; an unsent call reported as sent would be assumed to have run.
describe('plain service client under faults', () => {
  const faults: Array<{
    name: string;
    onSocket: (socket: Socket) => void;
    expected: {kind: string; run: string};
  }> = [
    {
      name: 'disconnect after the call was read',
      onSocket: socket => socket.once('data', () => socket.destroy()),
      expected: {kind: 'outcome-unknown', run: 'may-have-run'},
    },
    {
      name: 'disconnect before the last chunk of a response that announces it',
      onSocket: socket =>
        socket.once('data', () =>
          socket.end(
            'HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n',
          ),
        ),
      expected: {kind: 'outcome-unknown', run: 'may-have-run'},
    },
    {
      name: 'reset of a response without a length',
      onSocket: socket =>
        socket.once('data', () =>
          socket.write('HTTP/1.1 200 OK\r\n\r\nhalf', () =>
            socket.resetAndDestroy(),
          ),
        ),
      expected: {kind: 'outcome-unknown', run: 'may-have-run'},
    },
    {
      name: 'disconnect within the status line',
      onSocket: socket => socket.once('data', () => socket.end('HTTP/1.1 20')),
      expected: {kind: 'outcome-unknown', run: 'may-have-run'},
    },
    {
      name: 'disconnect within the response body',
      onSocket: socket =>
        socket.once('data', () =>
          socket.end('HTTP/1.1 201 Created\r\ncontent-length: 10\r\n\r\nhalf'),
        ),
      expected: {kind: 'outcome-unknown', run: 'may-have-run'},
    },
    {
      name: 'response that is not HTTP',
      onSocket: socket => socket.once('data', () => socket.end('no\r\n\r\n')),
      expected: {kind: 'outcome-unknown', run: 'may-have-run'},
    },
    {
      name: 'timeout after the call was read',
      onSocket: () => undefined,
      expected: {kind: 'outcome-unknown', run: 'may-have-run'},
    },
  ];
  for (const fault of faults) {
    it(`reports the run state after a ${fault.name}`, async test => {
      const url = await listen(test, createServer(fault.onSocket));
      const service = createClient(test, {url, idleTimeoutMs: 150});
      const error = await waitForRejection(
        service.call(bookingCall, neverAbortedSignal),
      );
      assert.deepEqual({kind: error.kind, run: error.run}, fault.expected);
    });
  }

  // Guards against half an answer of a killed endpoint that is passed on as a whole one.
  it('takes a response for whole only if its endpoint runs on', async test => {
    const response = 'HTTP/1.1 200 OK\r\n\r\nhalf';
    const server = createServer(socket =>
      socket.once('data', () => socket.end(response)),
    );
    const service = createClient(test, {url: await listen(test, server)});
    const {body} = await service.call(bookingCall, neverAbortedSignal);
    assert.equal(Buffer.from(body).toString(), 'half');
    server.on('connection', () => server.close());
    const error = await waitForRejection(
      service.call(bookingCall, neverAbortedSignal),
    );
    assert.equal(error.kind, 'outcome-unknown');
    assert.equal(error.run, 'may-have-run');
  });

  // Guards against whole answers of an endpoint that only stands still.
  it('waits while the endpoint is silent, until the call is cancelled', async test => {
    let connectionCount = 0;
    const server = createServer(socket => {
      connectionCount += 1;
      if (connectionCount === 2) {
        socket.destroy();
        return;
      }
      if (connectionCount > 3) {
        controller.abort();
        return;
      }
      socket.once('data', () => socket.end('HTTP/1.1 200 OK\r\n\r\nwhole'));
    });
    const controller = new AbortController();
    const service = createClient(test, {url: await listen(test, server)});
    const {body} = await service.call(bookingCall, controller.signal);
    assert.equal(Buffer.from(body).toString(), 'whole');
    connectionCount = 2;
    const error = await waitForRejection(
      service.call(bookingCall, controller.signal),
    );
    assert.equal(error.kind, 'cancelled');
    assert.equal(error.run, 'may-have-run');
  });

  // Guards against a call that is lost since it follows an unfinished one on its connection.
  it('sends no call on a connection whose last call was answered early', async test => {
    const url = await listen(
      test,
      createServer(socket => {
        socket.on('error', () => undefined);
        socket.once('data', bytes => {
          socket.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n');
          if (bytes.includes('/upload')) {
            socket.pause();
            setTimeout(() => socket.resetAndDestroy(), 30);
          }
        });
      }),
    );
    const service = createClient(test, {url});
    const upload = {
      ...bookingCall,
      path: '/upload',
      body: new Uint8Array(8 * 1024 * 1024),
    };
    for (const call of [upload, bookingCall]) {
      const {status} = await service.call(call, neverAbortedSignal);
      assert.equal(status, 200);
      // Lets the client release the connection.
      await new Promise(resolve => setImmediate(resolve));
    }
  });

  it('reports not-run when the connection is refused', async test => {
    const server = createServer();
    const url = await listen(test, server);
    await new Promise(resolve => server.close(resolve));
    const error = await waitForRejection(
      createClient(test, {url}).call(bookingCall, neverAbortedSignal),
    );
    assert.equal(error.kind, 'endpoint-unavailable');
    assert.equal(error.run, 'not-run');
  });

  // The endpoint closes a pooled connection while the next booking is written
  // to this connection. A retry by the client could run the booking twice.
  it('sends a call at most once when its pooled connection is closed', async test => {
    let callCount = 0;
    const url = await listen(
      test,
      createServer(socket =>
        socket.on('data', () => {
          callCount += 1;
          if (callCount === 1) {
            socket.write('HTTP/1.1 201 Created\r\ncontent-length: 0\r\n\r\n');
            return;
          }
          socket.destroy();
        }),
      ),
    );
    const service = createClient(test, {url, maxConnections: 1});
    await service.call(bookingCall, neverAbortedSignal);
    const error = await waitForRejection(
      service.call(bookingCall, neverAbortedSignal),
    );
    assert.equal(error.kind, 'outcome-unknown');
    assert.equal(callCount, 2);
  });

  // A caller cancels its booking while it is queued for a connection, and gets
  // `not-run`. The booking must not be sent when the connection becomes free.
  it('does not send a call that was cancelled while queued for a connection', async test => {
    const receivedPaths: string[] = [];
    const handleRequest: RequestListener = (request, response) => {
      receivedPaths.push(request.url ?? '');
      if (request.url !== '/first') {
        response.end();
      }
    };
    const url = await listen(test, createHttpServer(handleRequest));
    const service = createClient(test, {url, maxConnections: 1});
    const [firstController, secondController] = [
      new AbortController(),
      new AbortController(),
    ];
    const runningRejection = waitForRejection(
      service.call({...bookingCall, path: '/first'}, firstController.signal),
    );
    const queuedRejection = waitForRejection(
      service.call({...bookingCall, path: '/second'}, secondController.signal),
    );
    while (receivedPaths.length === 0) {
      await new Promise(resolve => setImmediate(resolve));
    }
    secondController.abort();
    assert.equal((await queuedRejection).run, 'not-run');
    const thirdResponse = service.call(
      {...bookingCall, path: '/third'},
      neverAbortedSignal,
    );
    firstController.abort();
    assert.equal((await runningRejection).run, 'may-have-run');
    await thirdResponse;
    assert.deepEqual(receivedPaths, ['/first', '/third']);
  });

  it('fails a call whose response exceeds the size limit', async test => {
    const url = await listen(
      test,
      createHttpServer((_request, response) => response.end('x'.repeat(2_000))),
    );
    const service = createClient(test, {url, maxResponseBytes: 1_000});
    const error = await waitForRejection(
      service.call(bookingCall, neverAbortedSignal),
    );
    assert.equal(error.kind, 'outcome-unknown');
  });

  it('rejects a call with an invalid header as not-run', async test => {
    const service = createClient(test, {url: 'http://127.0.0.1:9'});
    const badCall = {...bookingCall, headers: {'x-bad': 'a\r\nb: c'}};
    const error = await waitForRejection(
      service.call(badCall, neverAbortedSignal),
    );
    assert.equal(error.run, 'not-run');
    assert.equal(error.kind, 'bad-request');
  });
});

describe('rest of a plain service', () => {
  it('is read from Retry-After of 503, in seconds', () => {
    const restMsOf = (retryAfter: string, status = 503) =>
      parseRestMs({status, headers: {'retry-after': retryAfter}});
    assert.equal(restMsOf('3'), 3_000);
    assert.equal(restMsOf(' 0.25 '), 250);
    assert.equal(restMsOf('0'), 0);
    assert.equal(restMsOf('3', 429), undefined);
    for (const invalid of ['', '-1', 'soon', '1e9', '0x1', 'Infinity']) {
      assert.equal(restMsOf(invalid), undefined);
    }
    assert.equal(parseRestMs({status: 503, headers: {}}), undefined);
  });
});

describe('hop-by-hop headers', () => {
  it('removes the headers that the connection header lists', () => {
    const forwardedHeaders = removeHopByHopHeaders({
      Connection: 'close, X-Hop',
      'x-hop': '1',
      Accept: ['a', 'b'],
    });
    assert.deepEqual(forwardedHeaders, {accept: 'a, b'});
  });
});
