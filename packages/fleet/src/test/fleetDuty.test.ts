import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createDecisionLog,
  seededRandom,
  ServingError,
  createSilentLogger,
  toDisposable,
  createVirtualClock,
} from '@skylarkfield/base';
import type {LoadReport} from '@skylarkfield/endpoints';
import type {Cloud, Host, ReclaimNotice} from '@skylarkfield/providers';
import type {Service} from '@skylarkfield/records';
import {createFleetDuty} from '../fleetDuty.js';

const service: Service = {
  name: 'match',
  type: 'model',
  version: 'v1',
  routes: [],
  targetMs: 1500,
  timeoutMs: 30_000,
  concurrency: 64,
  queue: 64,
  fleet: {minReplicas: 3, maxReplicas: 20, machineClass: 'gpu', weights: 'w'},
};

type StartFault = 'refuse' | 'lose-reply' | 'lose-call';

/**
 * Creates a cloud of four failure domains; `startFaults` are injected into the
 * next starts.
 */
function createFakeCloud() {
  const hosts = new Map<string, Host>();
  const startFaults: StartFault[] = [];
  let notify: (notice: ReclaimNotice) => void = () => {};
  const cloud: Cloud = {
    listOffers: async () =>
      ['a', 'b', 'c', 'd'].map((failureDomain, index) => ({
        failureDomain,
        machineClass: 'gpu',
        market: 'reclaimable' as const,
        pricePerHour: 1 + index / 10,
      })),
    listHosts: async () => [...hosts.values()],
    async start(request) {
      const fault = startFaults.shift();
      if (fault === 'refuse') {
        throw new ServingError('overloaded', 'no capacity');
      }
      const existingHost = [...hosts.values()].find(
        host => host.clientToken === request.clientToken,
      );
      const host = existingHost ?? {
        ...request,
        id: `h${hosts.size}`,
        state: 'running' as const,
      };
      if (fault !== 'lose-call') {
        hosts.set(host.id, host);
      }
      if (fault !== undefined) {
        throw new ServingError('outcome-unknown', 'no reply');
      }
      return host;
    },
    async stop(id) {
      hosts.delete(id);
    },
    watchNotices(listener) {
      notify = listener;
      return toDisposable(() => (notify = () => {}));
    },
  };
  return {
    cloud,
    startFaults,
    hosts,
    reclaim(id: string) {
      const host = hosts.get(id)!;
      hosts.set(id, {...host, state: 'leaving'});
      notify({host: id, goneAt: 0});
    },
  };
}

function createDuty(
  fakeCloud: ReturnType<typeof createFakeCloud>,
  fencing = 1,
) {
  const clock = createVirtualClock();
  const inputs = {
    isValid: true,
    services: [service] as readonly Service[],
    reports: [] as readonly LoadReport[],
  };
  const duty = createFleetDuty({
    cloud: fakeCloud.cloud,
    clock,
    random: seededRandom(5),
    decisions: createDecisionLog(clock, createSilentLogger()),
    term: {
      duty: 'fleet',
      fencing,
      acquiredAt: 0,
      isValid: () => inputs.isValid,
      signal: new AbortController().signal,
    },
    services: () => inputs.services,
    reports: () => inputs.reports,
  });
  return {clock, duty, inputs};
}

function createReport(running: number, slots: number): LoadReport {
  return {
    sequence: 1,
    running,
    waiting: 0,
    slots,
    waitingPromptTokens: 0,
    cacheUse: 0,
  };
}

const listRunningHosts = (fakeCloud: ReturnType<typeof createFakeCloud>) =>
  [...fakeCloud.hosts.values()].filter(host => host.state === 'running');

describe('fleet duty', () => {
  it('starts the planned hosts and no more in later rounds', async () => {
    const fakeCloud = createFakeCloud();
    const {clock} = createDuty(fakeCloud);
    await clock.advance(6_000);
    const count = fakeCloud.hosts.size;
    assert.equal(count, 4);
    await clock.advance(60_000);
    assert.equal(fakeCloud.hosts.size, count);
  });

  const lostStarts: readonly [StartFault, string][] = [
    ['lose-reply', 'took effect'],
    ['lose-call', 'did not arrive'],
  ];
  for (const [fault, title] of lostStarts) {
    // The reply to a start is lost. A retry under a new token would start two
    // hosts; no retry would leave the service one host short.
    it(`starts each host once if the reply to a start that ${title} is lost`, async () => {
      const fakeCloud = createFakeCloud();
      fakeCloud.startFaults.push(fault);
      const {clock} = createDuty(fakeCloud);
      await clock.advance(30_000);
      assert.equal(fakeCloud.hosts.size, 4);
    });
  }

  // A failure domain rejects a start. Retries in this domain only would leave
  // the service without replicas that other domains could provide.
  it('uses another failure domain when a start is rejected', async () => {
    const fakeCloud = createFakeCloud();
    fakeCloud.startFaults.push('refuse');
    const {clock} = createDuty(fakeCloud);
    await clock.advance(12_000);
    assert.ok(listRunningHosts(fakeCloud).length >= 4);
  });

  it('replaces a host on its reclaim notice, before the host is gone', async () => {
    const fakeCloud = createFakeCloud();
    const {clock} = createDuty(fakeCloud);
    await clock.advance(6_000);
    const firstHost = listRunningHosts(fakeCloud)[0]!;
    fakeCloud.reclaim(firstHost.id);
    await clock.advance(1_000);
    assert.equal(listRunningHosts(fakeCloud).length, 4);
  });

  // A new holder of the duty has no load reports yet. Treating the missing
  // reports as zero load would stop busy hosts, and answers would be late until
  // these hosts are replaced.
  it('stops no hosts while no load reports have arrived', async () => {
    const fakeCloud = createFakeCloud();
    const firstHolder = createDuty(fakeCloud, 1);
    firstHolder.inputs.reports = [createReport(30, 8), createReport(30, 8)];
    await firstHolder.clock.advance(30_000);
    const count = fakeCloud.hosts.size;
    assert.ok(count > 6, `${count} hosts`);
    firstHolder.duty.dispose();
    const secondHolder = createDuty(fakeCloud, 2);
    await secondHolder.clock.advance(60_000);
    assert.equal(fakeCloud.hosts.size, count);
  });

  // Another entry takes over the duty. The new holder must count the hosts that
  // the earlier holder started, and not start them again.
  it('counts the hosts that an earlier holder of the duty started', async () => {
    const fakeCloud = createFakeCloud();
    const firstHolder = createDuty(fakeCloud, 1);
    await firstHolder.clock.advance(6_000);
    firstHolder.duty.dispose();
    const secondHolder = createDuty(fakeCloud, 2);
    await secondHolder.clock.advance(30_000);
    assert.equal(fakeCloud.hosts.size, 4);
  });

  it('stops the hosts of a service whose record was removed', async () => {
    const fakeCloud = createFakeCloud();
    const {clock, inputs} = createDuty(fakeCloud);
    await clock.advance(6_000);
    const other = {...service, name: 'other'};
    inputs.services = [other];
    await clock.advance(12_000);
    const owners = listRunningHosts(fakeCloud).map(
      host => host.clientToken.split('/')[1],
    );
    assert.deepEqual(new Set(owners), new Set(['other']));
  });

  it('starts no hosts while its term is not valid', async () => {
    const fakeCloud = createFakeCloud();
    const {clock, inputs} = createDuty(fakeCloud);
    inputs.isValid = false;
    await clock.advance(60_000);
    assert.equal(fakeCloud.hosts.size, 0);
  });
});
