import assert from 'node:assert/strict';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {createUpstreams, type Upstreams} from '../upstream.js';

const HEAD_END = '\r\n\r\n';
const START = 'HTTP/1.1 200 OK\r\nX-Sender: a1\r\n';
const INTERIM = `HTTP/1.1 103 Early Hints\r\nConnection: close${HEAD_END}`;

/** Heads by how they delimit the body; the last one follows an interim head. */
const HEADS = {
  length: `${START}Content-Length: 0${HEAD_END}`,
  chunks: `${START}Transfer-Encoding: chunked${HEAD_END}`,
  close: `${START}Connection: close${HEAD_END}`,
  interim: `${INTERIM}${START}Connection: close${HEAD_END}`,
} as const;

const endConnection = {
  close: (socket: Socket) => socket.end(),
  reset: (socket: Socket) => socket.resetAndDestroy(),
} as const;

type Ending = keyof typeof endConnection;

const ENDINGS: readonly Ending[] = ['close', 'reset'];

/** Sends a request and returns how it ended. */
function send(upstreams: Upstreams, address: string): Promise<string> {
  return new Promise(resolve => {
    upstreams.send(
      address,
      {method: 'GET', path: '/', headers: [], body: undefined},
      {
        onDidRespond: () => {},
        onDidReceive: () => {},
        onDidEnd: framing => resolve(`complete by ${framing}`),
        onDidFail: ({run}) => resolve(run),
      },
    );
  });
}

describe('responses that end within their head', {timeout: 60_000}, () => {
  let sentBytes = '';
  let ending: Ending = 'close';
  let isCut = true;
  let connectionCount = 0;
  const server = createServer(socket => {
    connectionCount += 1;
    socket.on('error', () => {});
    socket.on('data', () => {
      if (!isCut) {
        socket.write(HEADS.length);
        return;
      }
      if (sentBytes === '') {
        endConnection[ending](socket);
        return;
      }
      socket.write(sentBytes, () => endConnection[ending](socket));
    });
  });
  let address: string;

  before(async () => {
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  });
  after(() => server.close());

  /** Opens a connection that has served one request and is idle. */
  async function useConnection(upstreams: Upstreams): Promise<void> {
    isCut = false;
    assert.equal(await send(upstreams, address), 'complete by length');
    isCut = true;
    // undici uses a connection again in the next turn of the event loop.
    await setImmediate();
  }

  /** Cuts each head at each byte, and returns the cuts that were not noticed. */
  async function findUnnoticed({isKept}: {isKept: boolean}): Promise<string[]> {
    const unnoticed: string[] = [];
    for (const [name, head] of Object.entries(HEADS)) {
      for (let length = 0; length < head.length; length++) {
        for (ending of ENDINGS) {
          sentBytes = head.slice(0, length);
          const upstreams = createUpstreams();
          connectionCount = 0;
          if (isKept) {
            await useConnection(upstreams);
          }
          const result = await send(upstreams, address);
          upstreams.dispose();
          assert.equal(connectionCount, 1);
          if (result !== 'may-have-run') {
            unnoticed.push(`${name}, ${ending} after ${length}: ${result}`);
          }
        }
      }
    }
    return unnoticed;
  }

  // Guards against a head that is cut off and taken for that of an empty response.
  it('fail on a new connection', async () => {
    assert.deepEqual(await findUnnoticed({isKept: false}), []);
  });

  // Guards against a parser whose state of the response before completes the one that is cut off.
  it('fail on a connection that has served another request', async () => {
    assert.deepEqual(await findUnnoticed({isKept: true}), []);
  });
});
