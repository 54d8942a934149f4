import assert from 'node:assert/strict';
import {once} from 'node:events';
import http, {type ServerResponse} from 'node:http';
import {connect} from 'node:net';
import {describe, it} from 'node:test';
import {createSilentLogger} from '@skylarkfield/base';
import type {CallerLimits} from '@skylarkfield/traffic';
import {openPort} from '../listeners.js';

const LIMITS: CallerLimits = {
  headerBytes: 16_384,
  bodyBytes: 1_000,
  headerMs: 3_000,
  idleMs: 10_000,
};

/** Idle time after a change, in milliseconds; callers are told whole seconds. */
const SHORT_IDLE_MS = 2_000;
/**
 * Longer than the idle time after a change, in milliseconds, also if the port
 * waits another second so that no request crosses its close.
 */
const LONG_WAIT_MS = 3_500;

function sleep(delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}

/** Opens a port whose responses the test ends, and a caller with one connection. */
async function setUp() {
  const responses: ServerResponse[] = [];
  const agent = new http.Agent({keepAlive: true, maxSockets: 1});
  const port = await openPort(
    {host: '127.0.0.1', port: 0},
    (_, response) => responses.push(response),
    createSilentLogger(),
  );
  port.setLimits(LIMITS);
  return {
    port,
    /** Sends a request, and returns its response before it is written. */
    async receive() {
      const request = http.get({port: port.port, host: '127.0.0.1', agent});
      const whenRead = once(request, 'response').then(async ([message]) => {
        const answer = message as http.IncomingMessage;
        answer.resume();
        await once(answer, 'end');
        return {
          status: answer.statusCode ?? 0,
          isReused: request.reusedSocket,
        };
      });
      const count = responses.length;
      while (responses.length === count) {
        await Promise.race([sleep(1), whenRead]);
      }
      return {response: responses.at(-1)!, whenRead};
    },
    close() {
      agent.destroy();
      port.dispose();
    },
  };
}

describe('openPort', {timeout: 20_000, concurrency: true}, () => {
  // Guards against requests that are cut off since their connection was idle before them.
  it('answers a request that takes longer than a connection may be idle', async () => {
    const {port, receive, close} = await setUp();
    port.setLimits({...LIMITS, idleMs: SHORT_IDLE_MS});
    const first = await receive();
    first.response.end();
    await first.whenRead;
    const second = await receive();
    await sleep(LONG_WAIT_MS);
    second.response.end();
    assert.deepEqual(await second.whenRead, {status: 200, isReused: true});
    close();
  });

  // Guards against requests that are cut off by a policy that comes while they run.
  it('answers a request that runs while the idle time becomes shorter', async () => {
    const {port, receive, close} = await setUp();
    const {response, whenRead} = await receive();
    port.setLimits({...LIMITS, idleMs: SHORT_IDLE_MS});
    await sleep(LONG_WAIT_MS);
    response.end();
    assert.equal((await whenRead).status, 200);
    close();
  });

  // Guards against requests that cross the close of a connection that was to stay open, by what their caller was told.
  it('keeps a connection open as long as its last response has announced', async () => {
    const {port, receive, close} = await setUp();
    const first = await receive();
    first.response.flushHeaders();
    port.setLimits({...LIMITS, idleMs: SHORT_IDLE_MS});
    first.response.end();
    await first.whenRead;
    await sleep(LONG_WAIT_MS);
    const second = await receive();
    second.response.end();
    assert.deepEqual(await second.whenRead, {status: 200, isReused: true});
    close();
  });

  // Guards against bodies that nobody reads and that have no end.
  it('closes the connection of a request whose unread body has no end', async () => {
    const port = await openPort(
      {host: '127.0.0.1', port: 0},
      (_, response) => response.end(),
      createSilentLogger(),
    );
    const socket = connect(port.port, '127.0.0.1');
    const block = Buffer.alloc(4_096);
    socket.on('error', () => {});
    socket.write('GET / HTTP/1.1\r\nHost: a\r\n');
    socket.write('Content-Length: 1000000000000\r\n\r\n');
    const send = () => {
      while (!socket.destroyed && socket.write(block));
    };
    socket.on('drain', send);
    send();
    const [answer] = (await once(socket, 'data')) as [Buffer];
    assert.match(answer.toString(), /^HTTP\/1.1 200 /);
    await new Promise(resolve => socket.once('close', resolve));
    port.dispose();
  });

  // Guards against processes that end because one request cannot be handled.
  it('fails only the request whose handler throws', async () => {
    const port = await openPort(
      {host: '127.0.0.1', port: 0},
      ({url}, response) => {
        if (url === '/odd') {
          throw new Error('odd request');
        }
        response.end();
      },
      createSilentLogger(),
    );
    const statusOf = async (path: string) =>
      (await fetch(`http://127.0.0.1:${port.port}${path}`)).status;
    assert.equal(await statusOf('/odd'), 500);
    assert.equal(await statusOf('/'), 200);
    port.dispose();
  });
});
