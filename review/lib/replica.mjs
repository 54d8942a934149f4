/** Stand-ins for replicas, which record what they run. */
import {performance} from 'node:perf_hooks';
import http from 'node:http';
import {listen} from './platform.mjs';

/** Returns the signature of an answer, which names its replica and request. */
export function sealOf(replica, attemptId) {
  return `seal.${replica}.${attemptId}`;
}

/**
 * Starts a replica. `answer(request, response, {id, attemptId, body})` answers the
 * requests that the replica runs; others are rejected as the pages tell.
 */
export async function startReplica({
  id,
  service,
  zone,
  slots = 6,
  report = {},
  answer,
}) {
  const runs = [];
  let silentUntil = 0;
  const server = http.createServer((request, response) => {
    setTimeout(
      () => handle(request, response),
      Math.max(0, silentUntil - performance.now()),
    );
  });

  function handle(request, response) {
    const chunks = [];
    request.on('data', chunk => chunks.push(chunk));
    request.on('error', () => {});
    request.on('end', () => {
      const attemptId = request.headers['x-try-id'];
      const expected = request.headers['x-expect-replica'];
      response.setHeader('X-Replica-Load', `${server.running ?? 0},0,${slots}`);
      if (
        request.url === '/healthz' ||
        request.url === '/skylarkfield/report'
      ) {
        response
          .writeHead(200, {'X-Replica-Id': id})
          .end(JSON.stringify(report));
        return;
      }
      if (attemptId !== undefined) {
        response.setHeader('X-Try-Id', attemptId);
      }
      if (expected !== undefined && expected !== id) {
        response.writeHead(421, {'X-Not-Run': '1'}).end();
        return;
      }
      if (attemptId === undefined) {
        response.writeHead(400, {'X-Not-Run': '1'}).end();
        return;
      }
      runs.push({
        at: performance.now(),
        attemptId,
        method: request.method,
        path: request.url,
        headers: request.headers,
        lastEventId: request.headers['last-event-id'],
      });
      response.setHeader('X-Reply-Seal', sealOf(id, attemptId));
      answer(request, response, {id, attemptId, body: Buffer.concat(chunks)});
    });
  }

  server.keepAliveTimeout = 5_000;
  const address = await listen(server);
  return {
    id,
    address,
    runs,
    server,
    /** Makes the replica stand still: it reads no request for this time. */
    standStill(durationMs) {
      silentUntil = performance.now() + durationMs;
    },
    registration: {
      Service: service,
      Addr: address,
      Zone: zone,
      Version: 'v1',
      Slots: slots,
      State: 'ready',
      ColdLeftMs: 0,
      Seq: 1,
      born: Date.now(),
    },
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
