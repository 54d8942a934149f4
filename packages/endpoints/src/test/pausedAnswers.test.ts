import assert from 'node:assert/strict';
import {createServer, type AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {createHttpEngine} from '../index.js';

const HEAD =
  'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n';
const TOKEN_EVENT =
  'data: {"type":"token","attempt":"a1","index":0,"text":"x"}\n\n';

/** Sizes around twice what the body of a response buffers, in bytes. */
const BODY_SIZES = Array.from({length: 24}, (_, index) => (index + 8) * 8_192);

/** Turns of the event loop in which the end of a connection is received. */
const RECEIVING_TURNS = 20;

const GENERATION_REQUEST = {
  attempt: 'a1',
  prompt: 'p',
  maxTokens: 4,
  urgency: 2,
  delivered: [],
  seed: 1,
};

const {signal} = new AbortController();

describe('answers of engines that are read slowly', {timeout: 20_000}, () => {
  // Guards against slow callers whose engine closes its connection meanwhile, which ends the process.
  it('are read to their end', async () => {
    for (const size of BODY_SIZES) {
      const comments = ': padding\n\n'.repeat(size / 11);
      const body = TOKEN_EVENT + comments + TOKEN_EVENT;
      const server = createServer(socket => {
        socket.on('error', () => {});
        socket.once('data', () => socket.end(HEAD + body));
      });
      await new Promise<void>(resolve => {
        server.listen(0, '127.0.0.1', resolve);
      });
      const {port} = server.address() as AddressInfo;
      const engine = createHttpEngine({url: `http://127.0.0.1:${port}`});
      const types: string[] = [];
      for await (const {type} of engine.generate(GENERATION_REQUEST, signal)) {
        types.push(type);
        for (let turn = 0; turn < RECEIVING_TURNS; turn++) {
          await setImmediate();
        }
      }
      engine.dispose();
      server.close();
      assert.deepEqual(types, ['token', 'token']);
    }
  });
});
