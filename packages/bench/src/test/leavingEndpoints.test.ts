import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {createHttpCloud} from '@skylarkfield/providers';
import type {TrialProcess} from '../processes/childProcess.js';
import {startServingFleet} from '../processes/servingFleet.js';
import {
  runsByKey,
  sendOrder,
  trialServiceEndpoint,
} from '../processes/trialCalls.js';
import {TRIAL_ADMIN_KEY, type TrialFleet} from '../processes/trialFleet.js';
import {waitUntil} from '../processes/waitUntilServing.js';

const PLAIN_ENDPOINTS = ['b1', 'b2', 'b3'];

let running: TrialFleet | undefined;

afterEach(async () => {
  await running?.dispose();
  running = undefined;
});

async function startServing() {
  const serving = await startServingFleet();
  running = serving.fleet;
  return serving;
}

const leavingSignals = [
  {
    signal: 'its reclaim notice, while the host list still has it as live',
    async announce(fleet: TrialFleet, host: string) {
      await fleet.control(fleet.platform, 'faults', {listLagMs: 60_000});
      await fleet.control(fleet.platform, 'reclaim', {host, noticeSeconds: 40});
    },
  },
  {
    signal: 'the host list marks it as leaving',
    async announce(fleet: TrialFleet, host: string) {
      const url = fleet.endpoints.get('b3')!.ready['url'];
      await fleet.control(fleet.platform, 'endpoints', {
        id: 'b3',
        type: 'plain',
        service: 'booking',
        version: 'v1',
        url,
        host,
        failureDomain: 'c',
        machineClass: 'standard',
        checksFencing: false,
        state: 'leaving',
      });
    },
  },
];

/** Starts a reclaimable host at the cloud stand-in. */
async function startCloudHost(fleet: TrialFleet): Promise<string> {
  const cloud = createHttpCloud({url: fleet.platform.ready['url']!});
  const host = await cloud.start({
    clientToken: 'trial',
    failureDomain: 'c',
    machineClass: 'cpu-small',
    market: 'reclaimable',
  });
  return host.id;
}

async function everyEntry<T>(
  entries: readonly T[],
  condition: (entry: T) => Promise<boolean>,
): Promise<boolean> {
  return (await Promise.all(entries.map(condition))).every(Boolean);
}

/** Sends an order through an entry; returns whether the endpoint ran it. */
async function isReachable(fleet: TrialFleet, url: string, endpoint: string) {
  const before = await runsAt(fleet, endpoint);
  await sendOrder(url, `probe-${Math.random()}`);
  return (await runsAt(fleet, endpoint)) > before;
}

async function runsAt(fleet: TrialFleet, endpoint: string): Promise<number> {
  const runs = await runsByKey(fleet, [endpoint]);
  return [...runs.values()].reduce((sum, count) => sum + count, 0);
}

async function runsOfPrefix(fleet: TrialFleet, prefix: string) {
  const runs = await runsByKey(fleet, PLAIN_ENDPOINTS);
  return [...runs]
    .filter(([key]) => key.startsWith(prefix))
    .reduce((sum, [, count]) => sum + count, 0);
}

/** Returns whether an entry's router marks the endpoint as leaving. */
async function isMarkedLeaving(
  entry: TrialProcess,
  endpoint: string,
): Promise<boolean> {
  const response = await fetch(`${entry.ready['admin']}/dump`, {
    headers: {authorization: `Bearer ${TRIAL_ADMIN_KEY}`},
  });
  const {routing} = (await response.json()) as {
    routing: {leaving: string[]; endpoints: {id: string; health: string}[]};
  };
  return (
    routing.leaving.includes(endpoint) ||
    routing.endpoints.some(
      ({id, health}) => id === endpoint && health === 'leaving',
    )
  );
}

describe('leaving endpoints of real processes', () => {
  for (const {signal, announce} of leavingSignals) {
    // An endpoint's host is reclaimed with short notice. A call sent there in
    // its last seconds would be cut, and the outcome of an order unknown.
    it(`gives an endpoint no new work after ${signal}`, async () => {
      const {fleet, urls} = await startServing();
      const host = await startCloudHost(fleet);
      await fleet.startEndpoint({
        ...trialServiceEndpoint('b3', 'c'),
        flags: ['--machine-host', host],
      });
      await waitUntil('every entry sends work to it', () =>
        everyEntry(urls, url => isReachable(fleet, url, 'b3')),
      );
      await announce(fleet, host);
      await waitUntil('every entry marks it as leaving', () =>
        everyEntry(fleet.entries, entry => isMarkedLeaving(entry, 'b3')),
      );
      const before = await runsAt(fleet, 'b3');
      await Promise.all(
        Array.from({length: 30}, (_, index) =>
          sendOrder(urls[index % urls.length]!, `late-${index}`),
        ),
      );
      assert.equal(await runsAt(fleet, 'b3'), before);
      assert.equal(await runsOfPrefix(fleet, 'late-'), 30);
    });
  }
});
