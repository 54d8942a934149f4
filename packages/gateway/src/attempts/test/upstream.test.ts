import assert from 'node:assert/strict';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {describe, it} from 'node:test';
import {errors} from 'undici';
import {
  createTcpConnector,
  createUpstreams,
  type ConnectionClass,
} from '../upstream.js';

/**
 * What the endpoint does with the connection after it has sent its response.
 */
type Ending = 'open' | 'close' | 'reset';

/** A response of an endpoint and its expected result. */
interface ResponseCase {
  readonly name: string;
  readonly bytes: string;
  readonly ending: Ending;
  /** Whether the response is to be reported as complete or as broken. */
  readonly expected: 'whole' | 'broken';
}

const HEAD = 'HTTP/1.1 200 OK\r\n';
const CLOSE = 'Connection: close\r\n';
const CHUNKED = 'Transfer-Encoding: chunked\r\n';

const responseCases: readonly ResponseCase[] = [
  {
    name: 'with its full content length',
    bytes: `${HEAD}Content-Length: 5\r\n\r\nhello`,
    ending: 'open',
    expected: 'whole',
  },
  {
    name: 'that is closed before its full content length',
    bytes: `${HEAD}Content-Length: 9\r\n\r\nhello`,
    ending: 'close',
    expected: 'broken',
  },
  {
    name: 'without a length that is closed in order',
    bytes: `${HEAD}${CLOSE}\r\nhello`,
    ending: 'close',
    expected: 'whole',
  },
  {
    name: 'without a length that is reset',
    bytes: `${HEAD}${CLOSE}\r\nhello`,
    ending: 'reset',
    expected: 'broken',
  },
  {
    name: 'with all its chunks',
    bytes: `${HEAD}${CHUNKED}\r\n5\r\nhello\r\n0\r\n\r\n`,
    ending: 'open',
    expected: 'whole',
  },
  {
    name: 'that is closed before its last chunk',
    bytes: `${HEAD}${CLOSE}${CHUNKED}\r\n5\r\nhello\r\n`,
    ending: 'close',
    expected: 'broken',
  },
  {
    name: 'that is reset before its last chunk',
    bytes: `${HEAD}${CLOSE}${CHUNKED}\r\n5\r\nhello\r\n`,
    ending: 'reset',
    expected: 'broken',
  },
  {
    name: 'that is not HTTP',
    bytes: 'what is this\r\n\r\n',
    ending: 'open',
    expected: 'broken',
  },
  {
    name: 'that is closed without any byte',
    bytes: '',
    ending: 'close',
    expected: 'broken',
  },
];

const endConnection: Readonly<Record<Ending, (socket: Socket) => void>> = {
  open: () => {},
  close: socket => socket.end(),
  reset: socket => socket.resetAndDestroy(),
};

/** Serves one response, then ends the connection as specified. */
async function serveOnce({bytes, ending}: ResponseCase) {
  const server = createServer(socket => {
    socket.on('error', () => {});
    socket.once('data', () => {
      if (bytes === '') {
        endConnection[ending](socket);
        return;
      }
      socket.write(bytes, () => endConnection[ending](socket));
    });
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  return {address: `127.0.0.1:${port}`, close: () => server.close()};
}

describe('upstream responses', () => {
  for (const responseCase of responseCases) {
    it(`reports a response ${responseCase.name} as ${responseCase.expected}`, async () => {
      // Endpoints crash, are reclaimed or send invalid responses. A truncated
      // response must not be reported as complete.
      const endpoint = await serveOnce(responseCase);
      const upstreams = createUpstreams();
      const chunks: Buffer[] = [];
      const result = await new Promise<string>(resolve => {
        upstreams.send(
          endpoint.address,
          {method: 'GET', path: '/', headers: [], body: undefined},
          {
            onDidRespond: () => {},
            onDidReceive: chunk => chunks.push(chunk),
            onDidEnd: () => resolve('whole'),
            onDidFail: error =>
              resolve(error.run === 'may-have-run' ? 'broken' : error.run),
          },
        );
      });
      upstreams.dispose();
      endpoint.close();
      assert.equal(result, responseCase.expected);
      if (responseCase.expected === 'whole') {
        assert.equal(Buffer.concat(chunks).toString(), 'hello');
      }
    });
  }

  // Guards against answers that are dropped because their endpoint sent an interim head first.
  it('reports only the final head of a response', async () => {
    const interimHeads =
      'HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n';
    const endpoint = await serveOnce({
      ...responseCases[0]!,
      bytes: interimHeads + responseCases[0]!.bytes,
    });
    const upstreams = createUpstreams();
    const statuses: number[] = [];
    const result = await new Promise<string>(resolve => {
      upstreams.send(
        endpoint.address,
        {method: 'GET', path: '/', headers: [], body: undefined},
        {
          onDidRespond: status => statuses.push(status),
          onDidReceive: () => {},
          onDidEnd: () => resolve('whole'),
          onDidFail: ({message}) => resolve(message),
        },
      );
    });
    upstreams.dispose();
    endpoint.close();
    assert.equal(result, 'whole');
    assert.deepEqual(statuses, [200]);
  });

  // Guards against requests that are lost since the registration of their endpoint is missing for a moment.
  it('completes the requests of a pool that is closed, also those that wait', async () => {
    const heldSockets: Socket[] = [];
    let isHeld = true;
    const answer = (socket: Socket) => socket.write(responseCases[0]!.bytes);
    const server = createServer(socket => {
      socket.on('error', () => {});
      socket.on('data', () => {
        if (isHeld) {
          heldSockets.push(socket);
          return;
        }
        answer(socket);
      });
    });
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const {port} = server.address() as AddressInfo;
    const address = `127.0.0.1:${port}`;
    const upstreams = createUpstreams();
    const send = () =>
      new Promise<string>(resolve => {
        upstreams.send(
          address,
          {method: 'GET', path: '/', headers: [], body: undefined},
          {
            onDidRespond: () => {},
            onDidReceive: () => {},
            onDidEnd: () => resolve('whole'),
            onDidFail: ({message}) => resolve(message),
          },
        );
      });
    // More than the connections of a pool.
    const results = Array.from({length: 60}, send);
    while (heldSockets.length < 48) {
      await new Promise(resolve => setImmediate(resolve));
    }
    upstreams.retainOnly(new Set());
    results.push(send());
    isHeld = false;
    heldSockets.forEach(answer);
    const ends = await Promise.all(results);
    upstreams.dispose();
    server.close();
    assert.deepEqual(new Set(ends), new Set(['whole']));
  });

  // Guards against migrated streams whose target begins to drain while they wait for a connection.
  it('sends a request with reserved connections while all shared ones are in use', async () => {
    const server = createServer(socket => {
      socket.once('data', bytes => {
        if (String(bytes).startsWith('GET /reserved')) {
          socket.end(`${HEAD}Content-Length: 0\r\n\r\n`);
        }
      });
      socket.on('error', () => {});
    });
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const {port} = server.address() as AddressInfo;
    const upstreams = createUpstreams();
    const send = (path: string, connectionClass: ConnectionClass) =>
      new Promise<string>(resolve => {
        upstreams.send(
          `127.0.0.1:${port}`,
          {method: 'GET', path, headers: [], body: undefined},
          {
            onDidRespond: () => {},
            onDidReceive: () => {},
            onDidEnd: () => resolve('whole'),
            onDidFail: ({run}) => resolve(run),
          },
          connectionClass,
        );
      });
    const occupied = Array.from({length: 60}, () => send('/slow', 'shared'));
    assert.equal(await send('/reserved', 'reserved'), 'whole');
    upstreams.dispose();
    server.close();
    await Promise.all(occupied);
  });

  // Guards against second runs of requests that undici sends again after it closed their connection.
  it('sends a request once if undici takes its connection for an idle one', async () => {
    const sockets: Socket[] = [];
    let requestCount = 0;
    const server = createServer(socket => {
      socket.once('data', () => {
        requestCount += 1;
        if (requestCount > 1) {
          socket.end(`${HEAD}Content-Length: 0\r\n\r\n`);
          return;
        }
        sockets[0]!.destroy(new errors.InformationalError('idle'));
      });
      socket.on('error', () => {});
    });
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const {port} = server.address() as AddressInfo;
    const connect = createTcpConnector();
    const upstreams = createUpstreams((options, callback) =>
      connect(options, (...result) => {
        sockets.push(result[1] as Socket);
        callback(...result);
      }),
    );
    const end = await new Promise<string>(resolve => {
      upstreams.send(
        `127.0.0.1:${port}`,
        {method: 'POST', path: '/', headers: [], body: undefined},
        {
          onDidRespond: () => {},
          onDidReceive: () => {},
          onDidEnd: () => resolve('whole'),
          onDidFail: ({run}) => resolve(run),
        },
      );
    });
    upstreams.dispose();
    server.close();
    assert.equal(end, 'may-have-run');
    assert.equal(requestCount, 1);
  });

  it('reports a request as not run if the connection is refused', async () => {
    const endpoint = await serveOnce(responseCases[0]!);
    endpoint.close();
    const upstreams = createUpstreams();
    const error = await new Promise<{run: string}>(resolve => {
      upstreams.send(
        endpoint.address,
        {method: 'GET', path: '/', headers: [], body: undefined},
        {
          onDidRespond: () => {},
          onDidReceive: () => {},
          onDidEnd: () => {},
          onDidFail: resolve,
        },
      );
    });
    upstreams.dispose();
    assert.equal(error.run, 'not-run');
  });
});
