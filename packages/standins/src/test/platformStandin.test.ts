/** Platform stand-in, tested through the HTTP clients of the product. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  isServingError,
  seededRandom,
  type Disposable,
} from '@skylarkfield/base';
import {
  createHttpCloud,
  createHttpHostList,
  createHttpObjectStore,
  createHttpWeightStore,
  type ListedEndpoint,
  type ReclaimNotice,
} from '@skylarkfield/providers';
import {
  startPlatformStandin,
  type PlatformStandin,
} from '../platform/platformStandin.js';
import {testClock, waitUntil} from './objectApiFixtures.js';

const TIMEOUT_MS = 20_000;
const startRequest = {
  clientToken: 'token-1',
  failureDomain: 'a',
  machineClass: 'cpu-small',
  market: 'reclaimable',
} as const;

const endpoint: ListedEndpoint = {
  id: 'e1',
  type: 'plain',
  service: 'booking',
  version: 'v1',
  url: 'http://127.0.0.1:9',
  host: 'host-1',
  failureDomain: 'a',
  machineClass: 'cpu-small',
  checksFencing: false,
  state: 'live',
};

async function postControl(
  platform: PlatformStandin,
  path: string,
  body: object,
): Promise<number> {
  const response = await fetch(`${platform.url}/control/${path}`, {
    method: 'POST',
    body: JSON.stringify(body),
  });
  await response.text();
  return response.status;
}

async function withPlatform(
  run: (
    platform: PlatformStandin,
    disposeAtEnd: <T extends Disposable>(disposable: T) => T,
  ) => Promise<void>,
): Promise<void> {
  const platform = await startPlatformStandin({port: 0, clock: testClock});
  const disposables: Disposable[] = [];
  try {
    await run(platform, disposable => {
      disposables.push(disposable);
      return disposable;
    });
  } finally {
    disposables.forEach(disposable => disposable.dispose());
    await platform.stop();
  }
}

describe('platform stand-in', {timeout: TIMEOUT_MS}, () => {
  it('starts one host per client token, rejects a start and stops a host', () =>
    withPlatform(async platform => {
      const cloud = createHttpCloud({url: platform.url, clock: testClock});
      assert.ok((await cloud.listOffers()).length > 0);
      const [firstHost, secondHost] = await Promise.all([
        cloud.start(startRequest),
        cloud.start(startRequest),
      ]);
      assert.equal(firstHost.id, secondHost.id);
      await postControl(platform, 'faults', {startsToRefuse: 1});
      await assert.rejects(
        cloud.start({...startRequest, clientToken: 'token-2'}),
        error => isServingError(error, 'overloaded') && error.run === 'not-run',
      );
      await cloud.stop(firstHost.id);
      assert.deepEqual(await cloud.listHosts(), []);
    }));

  // A failure domain is reclaimed with notice. Endpoints in the domain must not
  // stay listed as live, or requests would be sent to hosts that shut down.
  it('delivers a reclaim notice, marks endpoints as leaving and removes them', () =>
    withPlatform(async (platform, disposeAtEnd) => {
      const cloud = createHttpCloud({url: platform.url, clock: testClock});
      const notices: ReclaimNotice[] = [];
      let listedEndpoints: readonly ListedEndpoint[] = [];
      disposeAtEnd(cloud.watchNotices(notice => notices.push(notice)));
      const hostList = createHttpHostList({
        url: platform.url,
        clock: testClock,
      });
      disposeAtEnd(hostList.watch(endpoints => (listedEndpoints = endpoints)));
      const host = await cloud.start(startRequest);
      await postControl(platform, 'endpoints', {...endpoint, host: host.id});
      await waitUntil(() => listedEndpoints[0]?.state === 'live');
      const reclaim = {failureDomain: 'a', noticeSeconds: 60};
      assert.equal(await postControl(platform, 'reclaim', reclaim), 200);
      await waitUntil(() => notices[0]?.host === host.id);
      await waitUntil(() => listedEndpoints[0]?.state === 'leaving');
      await postControl(platform, 'reclaim', {host: host.id});
      await waitUntil(() => listedEndpoints.length === 0);
    }));

  it('rejects weight loads above the configured rate', () =>
    withPlatform(async platform => {
      const weights = createHttpWeightStore({url: platform.url});
      await postControl(platform, 'faults', {loadsPerSecond: 0.001});
      await weights.reserve('matcher', 'host-1');
      await assert.rejects(
        weights.reserve('matcher', 'host-2'),
        error =>
          isServingError(error, 'overloaded') && (error.retryAfterMs ?? 0) > 0,
      );
    }));

  // Calls exceed the rate that the platform accepts. A client that does not
  // back off would crowd out the lease renewals of all processes.
  it('responds with 429 above the rate limit, and the client reports the retry delay', () =>
    withPlatform(async (platform, disposeAtEnd) => {
      const store = disposeAtEnd(
        createHttpObjectStore({
          url: platform.url,
          writer: 'us',
          clock: testClock,
          random: seededRandom(1),
        }),
      );
      // A limit below one call per second rejects every call.
      await postControl(platform, 'faults', {callsPerSecond: 0.5});
      await assert.rejects(
        store.get('thing', 'a'),
        error =>
          isServingError(error, 'platform-unavailable') &&
          error.run === 'not-run' &&
          error.retryAfterMs === 1000,
      );
      assert.equal(store.state(), 'up');
    }));

  it('rejects an unknown fault setting', () =>
    withPlatform(async platform => {
      assert.equal(await postControl(platform, 'faults', {isDwn: true}), 400);
    }));
});
