import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {createHttpCloud} from '@skylarkfield/providers';
import type {TrialProcess} from '../processes/childProcess.js';
import {startServingFleet} from '../processes/servingFleet.js';
import {
  fetchRunsByKey,
  sendOrder,
  trialServiceEndpoint,
} from '../processes/trialCalls.js';
import {TRIAL_ADMIN_KEY, type TrialFleet} from '../processes/trialFleet.js';
import {waitUntil} from '../processes/waitUntilServing.js';

const PLAIN_ENDPOINTS = ['b1', 'b2', 'b3'];

let currentFleet: TrialFleet | undefined;

afterEach(async () => {
  await currentFleet?.dispose();
  currentFleet = undefined;
});

async function startServing() {
  const serving = await startServingFleet();
  currentFleet = serving.fleet;
  return serving;
}

const leavingSignals = [
  {
    description:
      'its reclaim notice, while the host list still marks it as live',
    async announce(fleet: TrialFleet, host: string) {
      await fleet.control(fleet.platform, 'faults', {listLagMs: 60_000});
      await fleet.control(fleet.platform, 'reclaim', {host, noticeSeconds: 40});
    },
  },
  {
    description: 'the host list marks it as leaving',
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

async function holdsAtEveryEntry<T>(
  entries: readonly T[],
  condition: (entry: T) => Promise<boolean>,
): Promise<boolean> {
  return (await Promise.all(entries.map(condition))).every(Boolean);
}

/** Sends an order through an entry; returns whether the endpoint ran it. */
async function sendProbeOrder(
  fleet: TrialFleet,
  url: string,
  endpoint: string,
) {
  const runsBefore = await countRunsAt(fleet, endpoint);
  await sendOrder(url, `probe-${Math.random()}`);
  return (await countRunsAt(fleet, endpoint)) > runsBefore;
}

async function countRunsAt(
  fleet: TrialFleet,
  endpoint: string,
): Promise<number> {
  const runs = await fetchRunsByKey(fleet, [endpoint]);
  return [...runs.values()].reduce((sum, count) => sum + count, 0);
}

async function countRunsWithPrefix(fleet: TrialFleet, prefix: string) {
  const runs = await fetchRunsByKey(fleet, PLAIN_ENDPOINTS);
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
  for (const {description, announce} of leavingSignals) {
    // The host of an endpoint is reclaimed with short notice. A call sent to
    // the endpoint in its last seconds would be cut, and the outcome of an
    // order would be unknown.
    it(`gives an endpoint no new work after ${description}`, async () => {
      const {fleet, urls} = await startServing();
      const host = await startCloudHost(fleet);
      await fleet.startEndpoint({
        ...trialServiceEndpoint('b3', 'c'),
        flags: ['--machine-host', host],
      });
      await waitUntil('every entry sends orders to b3', () =>
        holdsAtEveryEntry(urls, url => sendProbeOrder(fleet, url, 'b3')),
      );
      await announce(fleet, host);
      await waitUntil('every entry marks b3 as leaving', () =>
        holdsAtEveryEntry(fleet.entries, entry => isMarkedLeaving(entry, 'b3')),
      );
      const runsBefore = await countRunsAt(fleet, 'b3');
      await Promise.all(
        Array.from({length: 30}, (_, index) =>
          sendOrder(urls[index % urls.length]!, `late-${index}`),
        ),
      );
      assert.equal(await countRunsAt(fleet, 'b3'), runsBefore);
      assert.equal(await countRunsWithPrefix(fleet, 'late-'), 30);
    });
  }
});
