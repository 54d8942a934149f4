import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {
  createDrainGuard,
  createMetrics,
  createProcessLifecycle,
  createSilentLogger,
  systemClock,
  toDisposable,
} from '@skylarkfield/base';
import {attachCallerRoutes} from '../callers/callerServer.js';
import {createRequestMetrics} from '../callers/requestMetrics.js';
import {createInFlightCounter} from '@skylarkfield/base';
import type {ServingContext} from '../servingContext.js';
import {validateEntrySettings} from '../settings.js';

/** More than the buffers of sockets and streams hold together. */
const BODY_BYTES = 32 * 1024 * 1024;

const {limits} = validateEntrySettings({
  id: 'a1',
  failureDomain: 'a',
  callers: {port: 0},
  inner: {port: 0},
  admin: {port: 0},
  platform: {url: 'http://127.0.0.1:7000'},
  keys: {inner: {env: 'INNER'}, admin: {env: 'ADMIN'}},
});

const customer = {
  name: 'trial',
  keyHashes: [],
  bestUrgency: 0,
  weight: 1,
  services: [],
};

describe('caller server', () => {
  const closeCallbacks: (() => void)[] = [];
  afterEach(() => closeCallbacks.splice(0).forEach(close => close()));

  /** Starts a server whose plain service responds with a large body at once. */
  async function startServer() {
    const clock = systemClock();
    const {meter} = await createMetrics('test');
    const server = createServer();
    const inFlight = createInFlightCounter(clock);
    const configuration = {
      get: () => ({name: 'booking', type: 'plain'}),
      onDidChange: () => toDisposable(() => {}),
    };
    attachCallerRoutes({
      server,
      serving: {configuration} as unknown as ServingContext,
      customerKeys: {authenticate: () => customer},
      modelServer: {serve: () => Promise.reject(new Error('unexpected call'))},
      plainServer: {
        async serve(exchange) {
          exchange.response.end(Buffer.alloc(BODY_BYTES, 'x'));
        },
      },
      metrics: createRequestMetrics(meter, () => true),
      limits,
      clock,
      log: createSilentLogger(),
      inFlightCounter: inFlight,
      drainGuard: createDrainGuard(createProcessLifecycle(), 0),
      readiness: () => 'ready',
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    closeCallbacks.push(() => {
      server.close();
      server.closeAllConnections();
    });
    return {port: (server.address() as AddressInfo).port, inFlight};
  }

  // A caller reads slowly while the entry stops. If a request were in flight
  // only until its response was buffered, the stop would truncate the response.
  it('counts a request as in flight until its response has been read', async () => {
    const {port, inFlight} = await startServer();
    const socket = connect(port, '127.0.0.1');
    closeCallbacks.push(() => socket.destroy());
    socket.write('GET /services/booking/all HTTP/1.1\r\nHost: a\r\n\r\n');
    const [firstChunk] = (await once(socket, 'data')) as [Buffer];
    socket.pause();
    assert.equal(inFlight.count(), 1);
    let receivedBytes = firstChunk.length;
    socket.on('data', (chunk: Buffer) => (receivedBytes += chunk.length));
    socket.resume();
    assert.equal(await inFlight.waitUntilIdle(20_000), true);
    while (receivedBytes < BODY_BYTES) {
      await once(socket, 'data');
    }
  });

  it('no longer counts a request as in flight when its caller disconnects', async () => {
    const {port, inFlight} = await startServer();
    const socket = connect(port, '127.0.0.1');
    socket.write('GET /services/booking/all HTTP/1.1\r\nHost: a\r\n\r\n');
    await once(socket, 'data');
    socket.destroy();
    assert.equal(await inFlight.waitUntilIdle(20_000), true);
  });
});
