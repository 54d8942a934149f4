import assert from 'node:assert/strict';
import {createServer, type AddressInfo} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {createHttpClient, type HttpClient} from '../index.js';

const STATUSES = ['000', '099', '101', '600', '999', '20', '2000', ''];

/** Kinds of the errors of a read, and of a write. */
const KINDS = new Map([
  [false, 'platform-unavailable'],
  [true, 'outcome-unknown'],
]);

describe('answers of the platform whose status is none of HTTP', () => {
  let status = '';
  let client: HttpClient;
  const server = createServer(socket => {
    socket.on('error', () => {});
    socket.on('data', () =>
      socket.write(`HTTP/1.1 ${status} OK\r\nContent-Length: 2\r\n\r\n{}`),
    );
  });

  before(async () => {
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const {port} = server.address() as AddressInfo;
    client = createHttpClient(`http://127.0.0.1:${port}`);
  });
  after(() => {
    client.dispose();
    server.close();
  });

  for (const [isWrite, kind] of KINDS) {
    // Guards against headers, like the era of the store, that are taken from what is no answer.
    it(`fail a ${isWrite ? 'write' : 'read'}`, async () => {
      for (status of STATUSES) {
        await assert.rejects(
          client.send({method: 'GET', path: '/', isWrite}),
          {kind},
          JSON.stringify(status),
        );
      }
    });
  }
});
