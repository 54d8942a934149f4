import assert from 'node:assert/strict';
import {readFileSync, readdirSync} from 'node:fs';
import {connect} from 'node:net';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {startServingFleet} from '../processes/servingFleet.js';
import {sendOrder} from '../processes/trialCalls.js';
import {waitUntil} from '../processes/waitUntilServing.js';

const CROWD_SIZE = 100;

/** Bytes of requests that one caller sends ahead. */
const SENT_AHEAD_BYTES = 1_024 * 1_024;

/** Largest resident memory of an entry, in kB. */
const MAX_PEAK_KB = 350_000;

/** Descriptors that a process may have open beyond those before the crowd. */
const MAX_FURTHER_DESCRIPTORS = 30;

/** Time for which a caller waits for its answer, in milliseconds. */
const CALLER_TIMEOUT_MS = 20_000;

const CREATED_STATUS = 201;

const REQUESTS: Readonly<Record<string, string>> = {
  'with the usual headers': 'GET /v1/entries HTTP/1.1\r\nHost: a\r\n\r\n',
  'without headers': 'GET / HTTP/1.1\r\n\r\n',
};

/** Connects callers that send requests ahead and read nothing. */
async function openCrowd(url: string, request: string): Promise<() => void> {
  const {hostname, port} = new URL(url);
  const bytes = request.repeat(SENT_AHEAD_BYTES / request.length);
  const sockets = Array.from({length: CROWD_SIZE}, () => {
    const socket = connect(Number(port), hostname).pause();
    socket.on('error', () => {});
    socket.write(bytes);
    return socket;
  });
  await Promise.all(
    sockets.map(
      socket =>
        new Promise(resolve => {
          socket.once('connect', resolve).once('close', resolve);
        }),
    ),
  );
  return () => sockets.forEach(socket => socket.destroy());
}

function countDescriptors(pid: number): number {
  return readdirSync(`/proc/${pid}/fd`).length;
}

/** Sends an order; returns status 0 if it gets no answer. */
async function orderStatus(url: string, key: string): Promise<number> {
  const reply = await Promise.race([
    sendOrder(url, key).catch(() => undefined),
    sleep(CALLER_TIMEOUT_MS, undefined, {ref: false}),
  ]);
  return reply?.status ?? 0;
}

describe(
  'a crowd at an entry of the own interface that sends requests ahead',
  {timeout: 200_000},
  () => {
    // Guards against a process that makes a request of each head that it receives.
    for (const [name, request] of Object.entries(REQUESTS)) {
      for (const port of ['callers', 'admin', 'inner']) {
        it(`${name} to the port "${port}" leaves it to others`, async () => {
          const {fleet, urls} = await startServingFleet();
          try {
            const entry = fleet.entries[0]!;
            const url = urls[0]!;
            const descriptorsBefore = countDescriptors(entry.pid);
            const disperse = await openCrowd(entry.ready[port]!, request);
            const besideStatus = await orderStatus(url, 'beside');
            disperse();
            const afterStatus = await orderStatus(url, 'after');
            assert.deepEqual(
              {besideStatus, afterStatus, hasEnded: entry.hasEnded()},
              {
                besideStatus: CREATED_STATUS,
                afterStatus: CREATED_STATUS,
                hasEnded: false,
              },
            );
            const status = readFileSync(`/proc/${entry.pid}/status`, 'utf8');
            const peakKb = Number(/^VmHWM:\s+(\d+)/m.exec(status)?.[1]);
            assert.ok(peakKb < MAX_PEAK_KB, `${peakKb} kB of memory`);
            await waitUntil('its descriptors are closed', () =>
              Promise.resolve(
                countDescriptors(entry.pid) <=
                  descriptorsBefore + MAX_FURTHER_DESCRIPTORS,
              ),
            );
          } finally {
            await fleet.dispose();
          }
        });
      }
    }
  },
);
