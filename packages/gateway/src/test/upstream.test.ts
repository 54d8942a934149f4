import assert from 'node:assert/strict';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {describe, it} from 'node:test';
import {createUpstreams} from '../upstream.js';

/** How the endpoint ends the connection after its response. */
type Ending = 'open' | 'close' | 'reset';

interface Answer {
  readonly name: string;
  readonly bytes: string;
  readonly ending: Ending;
  /** Expected result: a complete or a broken response. */
  readonly expected: 'whole' | 'broken';
}

const HEAD = 'HTTP/1.1 200 OK\r\n';
const CLOSE = 'Connection: close\r\n';
const CHUNKED = 'Transfer-Encoding: chunked\r\n';

const answers: readonly Answer[] = [
  {
    name: 'with its full content length',
    bytes: `${HEAD}Content-Length: 5\r\n\r\nhello`,
    ending: 'open',
    expected: 'whole',
  },
  {
    name: 'shorter than its content length, then closed',
    bytes: `${HEAD}Content-Length: 9\r\n\r\nhello`,
    ending: 'close',
    expected: 'broken',
  },
  {
    name: 'without a length, closed in order',
    bytes: `${HEAD}${CLOSE}\r\nhello`,
    ending: 'close',
    expected: 'whole',
  },
  {
    name: 'without a length, reset',
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
    name: 'closed before its last chunk',
    bytes: `${HEAD}${CLOSE}${CHUNKED}\r\n5\r\nhello\r\n`,
    ending: 'close',
    expected: 'broken',
  },
  {
    name: 'reset before its last chunk',
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
    name: 'that is empty, then closed',
    bytes: '',
    ending: 'close',
    expected: 'broken',
  },
];

const endings: Readonly<Record<Ending, (socket: Socket) => void>> = {
  open: () => {},
  close: socket => socket.end(),
  reset: socket => socket.resetAndDestroy(),
};

/** Serves one connection, and ends it after the bytes have been sent. */
async function serveOnce({bytes, ending}: Answer) {
  const server = createServer(socket => {
    socket.on('error', () => {});
    socket.once('data', () => {
      if (bytes === '') {
        endings[ending](socket);
        return;
      }
      socket.write(bytes, () => endings[ending](socket));
    });
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  return {address: `127.0.0.1:${port}`, close: () => server.close()};
}

describe('upstream responses', () => {
  for (const answer of answers) {
    it(`reports a response ${answer.name} as ${answer.expected}`, async () => {
      // Endpoints crash, are reclaimed or send invalid responses. A truncated
      // response must not be reported as complete.
      const endpoint = await serveOnce(answer);
      const upstreams = createUpstreams();
      const chunks: Buffer[] = [];
      const end = await new Promise<string>(resolve => {
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
      assert.equal(end, answer.expected);
      if (answer.expected === 'whole') {
        assert.equal(Buffer.concat(chunks).toString(), 'hello');
      }
    });
  }

  it('reports a request as not run if the connection is refused', async () => {
    const endpoint = await serveOnce(answers[0]!);
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
