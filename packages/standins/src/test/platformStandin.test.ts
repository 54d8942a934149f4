/** Cloud, host list, weight store and control port of the stand-in, through the product's clients. */
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
import {testClock, until} from './objectStoreSubjects.js';

const TIMEOUT_MS = 20_000;
const wanted = {
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

async function control(
  platform: PlatformStandin,
  path: string,
  body: object,
): Promise<number> {
  const reply = await fetch(`${platform.url}/control/${path}`, {
    method: 'POST',
    body: JSON.stringify(body),
  });
  await reply.text();
  return reply.status;
}

async function withPlatform(
  run: (
    platform: PlatformStandin,
    own: <T extends Disposable>(disposable: T) => T,
  ) => Promise<void>,
): Promise<void> {
  const platform = await startPlatformStandin({port: 0, clock: testClock});
  const owned: Disposable[] = [];
  try {
    await run(platform, disposable => {
      owned.push(disposable);
      return disposable;
    });
  } finally {
    owned.forEach(disposable => disposable.dispose());
    await platform.stop();
  }
}

describe('platform stand-in', {timeout: TIMEOUT_MS}, () => {
  it('starts one host per client token, refuses and stops', () =>
    withPlatform(async platform => {
      const cloud = createHttpCloud({url: platform.url, clock: testClock});
      assert.ok((await cloud.offers()).length > 0);
      const [one, two] = await Promise.all([
        cloud.start(wanted),
        cloud.start(wanted),
      ]);
      assert.equal(one.id, two.id);
      await control(platform, 'faults', {startsToRefuse: 1});
      await assert.rejects(
        cloud.start({...wanted, clientToken: 'token-2'}),
        error => isServingError(error, 'overloaded') && error.run === 'not-run',
      );
      await cloud.stop(one.id);
      assert.deepEqual(await cloud.hosts(), []);
    }));

  // A failure domain is taken back with notice. Endpoints there must not look
  // live any more, or requests go on being sent to hosts that vanish.
  it('tells notices and marks endpoints as leaving', () =>
    withPlatform(async (platform, own) => {
      const cloud = createHttpCloud({url: platform.url, clock: testClock});
      const notices: ReclaimNotice[] = [];
      let listed: readonly ListedEndpoint[] = [];
      own(cloud.watchNotices(notice => notices.push(notice)));
      const hosts = createHttpHostList({url: platform.url, clock: testClock});
      own(hosts.watch(endpoints => (listed = endpoints)));
      const host = await cloud.start(wanted);
      await control(platform, 'endpoints', {...endpoint, host: host.id});
      await until(() => listed[0]?.state === 'live');
      const reclaim = {failureDomain: 'a', noticeSeconds: 60};
      assert.equal(await control(platform, 'reclaim', reclaim), 200);
      await until(() => notices[0]?.host === host.id);
      await until(() => listed[0]?.state === 'leaving');
      await control(platform, 'reclaim', {host: host.id});
      await until(() => listed.length === 0);
    }));

  it('grants loads of weights at its rate', () =>
    withPlatform(async platform => {
      const weights = createHttpWeightStore({url: platform.url});
      await control(platform, 'faults', {loadsPerSecond: 0.001});
      await weights.reserve('matcher', 'host-1');
      await assert.rejects(
        weights.reserve('matcher', 'host-2'),
        error =>
          isServingError(error, 'overloaded') && (error.retryAfterMs ?? 0) > 0,
      );
    }));

  // More calls come in a second than the platform takes. A client that goes on
  // at its pace keeps everybody's lease renewals out.
  it('answers 429 above its rate, and the client holds back', () =>
    withPlatform(async (platform, own) => {
      const store = own(
        createHttpObjectStore({
          url: platform.url,
          writer: 'us',
          clock: testClock,
          random: seededRandom(1),
        }),
      );
      // Less than one call a second: every call is above the rate.
      await control(platform, 'faults', {callsPerSecond: 0.5});
      await assert.rejects(
        store.get('thing', 'a'),
        error =>
          isServingError(error, 'platform-unavailable') &&
          error.run === 'not-run' &&
          error.retryAfterMs === 1000,
      );
      assert.equal(store.state(), 'up');
    }));

  it('refuses a switch that it does not know', () =>
    withPlatform(async platform => {
      assert.equal(await control(platform, 'faults', {isDwn: true}), 400);
    }));
});
