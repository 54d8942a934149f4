import assert from 'node:assert/strict';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {describe, it} from 'node:test';
import {createUpstreams} from '../upstream.js';

/** How the endpoint ends the connection after what it has sent. */
type Ending = 'open' | 'close' | 'reset';

interface Answer {
  readonly name: string;
  readonly bytes: string;
  readonly ending: Ending;
  /** What the caller must be told: the whole body, or that it is not whole. */
  readonly expected: 'whole' | 'broken';
}

const HEAD = 'HTTP/1.1 200 OK\r\n';
const CLOSE = 'Connection: close\r\n';
const CHUNKED = 'Transfer-Encoding: chunked\r\n';

const answers: readonly Answer[] = [
  {
    name: 'with its whole announced length',
    bytes: `${HEAD}Content-Length: 5\r\n\r\nhello`,
    ending: 'open',
    expected: 'whole',
  },
  {
    name: 'shorter than announced, then closed',
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
    name: 'in chunks to the last one',
    bytes: `${HEAD}${CHUNKED}\r\n5\r\nhello\r\n0\r\n\r\n`,
    ending: 'open',
    expected: 'whole',
  },
  {
    name: 'in chunks, closed before the last one',
    bytes: `${HEAD}${CLOSE}${CHUNKED}\r\n5\r\nhello\r\n`,
    ending: 'close',
    expected: 'broken',
  },
  {
    name: 'in chunks, reset before the last one',
    bytes: `${HEAD}${CLOSE}${CHUNKED}\r\n5\r\nhello\r\n`,
    ending: 'reset',
    expected: 'broken',
  },
  {
    name: 'that is no answer',
    bytes: 'what is this\r\n\r\n',
    ending: 'open',
    expected: 'broken',
  },
  {
    name: 'that never comes, closed',
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

/** Serves one connection with the answer; the ending follows when the bytes have been sent. */
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

describe('answers of endpoints', () => {
  for (const answer of answers) {
    it(`takes one ${answer.name} for ${answer.expected}`, async () => {
      // Endpoints crash, are reclaimed or send what is no answer. A caller that
      // got half an answer as a whole one would ship the wrong kit.
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

  it('says that a request was not run when nobody listens', async () => {
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
