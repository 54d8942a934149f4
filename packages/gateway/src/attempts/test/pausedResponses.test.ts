import assert from 'node:assert/strict';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {describe, it} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {createUpstreams, type UpstreamExchange} from '../upstream.js';

const CLOSE = 'Connection: close\r\n';

/** Responses of which more bytes follow only with the end, by their framing. */
const RESPONSES = {
  close: `${CLOSE}\r\nhello`,
  length: `${CLOSE}Content-Length: 9\r\n\r\nhello`,
  chunks: `${CLOSE}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n`,
  'chunks of a kept connection':
    'Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n',
} as const;

const endConnection = {
  close: (socket: Socket) => socket.end(),
  reset: (socket: Socket) => socket.resetAndDestroy(),
} as const;

type Framing = keyof typeof RESPONSES;
type Ending = keyof typeof endConnection;

/** Turns of the event loop in which the end of a connection is received. */
const RECEIVING_TURNS = 20;

async function untilReceived(): Promise<void> {
  for (let turn = 0; turn < RECEIVING_TURNS; turn++) {
    await setImmediate();
  }
}

/** Pauses a response whose connection then ends, and returns how it ended. */
async function pauseUntilEnd(
  framing: Framing,
  ending: Ending,
): Promise<{end: string; body: string}> {
  let endpointSocket!: Socket;
  const server = createServer(socket => {
    endpointSocket = socket;
    socket.on('error', () => {});
    socket.once('data', () =>
      socket.write(`HTTP/1.1 200 OK\r\n${RESPONSES[framing]}`),
    );
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  const upstreams = createUpstreams();
  let body = '';
  const end = await new Promise<string>(resolve => {
    const exchange: UpstreamExchange = upstreams.send(
      `127.0.0.1:${port}`,
      {method: 'GET', path: '/', headers: [], body: undefined},
      {
        onDidRespond: () => {},
        onDidReceive(chunk) {
          body += chunk.toString();
          exchange.pause();
          endConnection[ending](endpointSocket);
          void untilReceived().then(exchange.resume);
        },
        onDidEnd: () => resolve('whole'),
        onDidFail: ({run}) => resolve(run),
      },
    );
  });
  upstreams.dispose();
  server.close();
  return {end, body};
}

describe('paused responses', {timeout: 20_000}, () => {
  for (const framing of Object.keys(RESPONSES) as Framing[]) {
    for (const ending of Object.keys(endConnection) as Ending[]) {
      // Guards against slow callers whose endpoint ends its response meanwhile, which ends the process.
      it(`end with their connection: ${framing}, ${ending}`, async () => {
        const isWhole = framing === 'close' && ending === 'close';
        assert.deepEqual(await pauseUntilEnd(framing, ending), {
          end: isWhole ? 'whole' : 'may-have-run',
          body: 'hello',
        });
      });
    }
  }
});
