import assert from 'node:assert/strict';
import {once} from 'node:events';
import http from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {describe, it, type TestContext} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {createConnectionGuard} from '../connectionGuard.js';
import {findSliceEnd} from '../readSlices.js';

const SHORTEST_HEAD = 'GET / HTTP/1.1\r\n\r\n';

/** Starts a guarded server and connects to it. */
async function startServer(
  test: TestContext,
  listener: http.RequestListener,
): Promise<{readonly caller: Socket; readonly closures: readonly number[]}> {
  const closures: number[] = [];
  const guard = createConnectionGuard(count => closures.push(count));
  const server = http.createServer(
    {ServerResponse: guard.ServerResponse},
    listener,
  );
  guard.attach(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
  caller.on('error', () => {});
  test.after(() => {
    caller.destroy();
    server.close();
    server.closeAllConnections();
  });
  return {caller, closures};
}

describe('createConnectionGuard', {timeout: 10_000}, () => {
  // Guards against a request for each of the heads that fit in one read.
  it('closes a connection with many requests without an answer', async test => {
    const responses: http.ServerResponse[] = [];
    const {caller, closures} = await startServer(test, (_, response) =>
      responses.push(response),
    );
    caller.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(2_000));
    await new Promise(resolve => caller.once('close', resolve));
    assert.equal(closures.length, 1);
    assert.ok(responses.length < 40, `${responses.length} requests`);
  });

  // Guards against requests that Node answers without an event.
  it('counts requests without the usual headers', async test => {
    const {caller, closures} = await startServer(test, () => assert.fail());
    caller.pause();
    caller.write(SHORTEST_HEAD.repeat(2_000));
    await once(caller.resume(), 'close');
    assert.equal(closures.length, 1);
  });

  // Guards against handlers that wait without end for the end of their response.
  it('ends all responses of a connection that its caller closes', async test => {
    const closedUrls: Array<string | undefined> = [];
    const {caller} = await startServer(test, ({url}, response) => {
      response.once('close', () => closedUrls.push(url));
      if (url === '/2') {
        caller.destroy();
      }
    });
    for (const path of ['/0', '/1', '/2']) {
      caller.write(`GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`);
    }
    while (closedUrls.length < 3) {
      await nextTurn();
    }
    assert.deepEqual(closedUrls.sort(), ['/0', '/1', '/2']);
  });

  // Guards against bytes that get lost or out of order where a side pauses.
  it('passes on whole requests of a caller that reads late', async test => {
    const body = Array.from({length: 30_000}, (_, line) => `${line}\n\n`).join(
      '',
    );
    const {caller, closures} = await startServer(test, (request, response) => {
      const parts: Buffer[] = [];
      request.on('data', part => {
        parts.push(part as Buffer);
        request.pause();
        setImmediate(() => request.resume());
      });
      request.once('end', () => response.end(Buffer.concat(parts)));
    });
    const request = [
      'POST / HTTP/1.1',
      'Host: a',
      `Content-Length: ${body.length}`,
      '',
      body,
    ].join('\r\n');
    caller.pause();
    caller.write(request.repeat(4));
    caller.write('GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n');
    let text = '';
    caller.on('data', bytes => (text += bytes));
    await once(caller.resume(), 'end');
    assert.deepEqual(closures, []);
    assert.equal(text.split(body).length, 5);
  });
});

describe('findSliceEnd', () => {
  it('ends slices of heads at a blank line', () => {
    const bytes = Buffer.from(SHORTEST_HEAD.repeat(100));
    const end = findSliceEnd(bytes, 0);
    assert.equal(end % SHORTEST_HEAD.length, 0);
    assert.ok(end < bytes.length);
  });

  it('cuts bytes without blank lines only if they have many lines', () => {
    assert.equal(findSliceEnd(Buffer.alloc(65_536), 0), 65_536);
    assert.equal(findSliceEnd(Buffer.from('1\r\nx\r\n'.repeat(999)), 0), 384);
  });
});
