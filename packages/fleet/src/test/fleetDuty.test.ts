import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  decisionLog,
  seededRandom,
  ServingError,
  silentLogger,
  toDisposable,
  virtualClock,
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

/** Cloud of four failure domains with faults to inject into the next starts. */
function createFakeCloud() {
  const hosts = new Map<string, Host>();
  const startFaults: StartFault[] = [];
  let notify: (notice: ReclaimNotice) => void = () => {};
  const cloud: Cloud = {
    offers: async () =>
      ['a', 'b', 'c', 'd'].map((failureDomain, index) => ({
        failureDomain,
        machineClass: 'gpu',
        market: 'reclaimable' as const,
        pricePerHour: 1 + index / 10,
      })),
    hosts: async () => [...hosts.values()],
    async start(request) {
      const fault = startFaults.shift();
      if (fault === 'refuse') {
        throw new ServingError('overloaded', 'no capacity');
      }
      const present = [...hosts.values()].find(
        host => host.clientToken === request.clientToken,
      );
      const host = present ?? {
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

function createDuty(fake: ReturnType<typeof createFakeCloud>, fencing = 1) {
  const clock = virtualClock();
  const state = {
    isValid: true,
    services: [service] as readonly Service[],
    reports: [] as readonly LoadReport[],
  };
  const duty = createFleetDuty({
    cloud: fake.cloud,
    clock,
    random: seededRandom(5),
    decisions: decisionLog(clock, silentLogger()),
    term: {
      duty: 'fleet',
      fencing,
      acquiredAt: 0,
      isValid: () => state.isValid,
      signal: new AbortController().signal,
    },
    services: () => state.services,
    reports: () => state.reports,
  });
  return {clock, duty, state};
}

function report(running: number, slots: number): LoadReport {
  return {
    sequence: 1,
    running,
    waiting: 0,
    slots,
    waitingPromptTokens: 0,
    cacheUse: 0,
  };
}

const liveHosts = (fake: ReturnType<typeof createFakeCloud>) =>
  [...fake.hosts.values()].filter(host => host.state === 'running');

describe('fleet duty', () => {
  it('starts the planned hosts and no more', async () => {
    const fake = createFakeCloud();
    const {clock} = createDuty(fake);
    await clock.advance(6_000);
    const count = fake.hosts.size;
    assert.equal(count, 4);
    await clock.advance(60_000);
    assert.equal(fake.hosts.size, count);
  });

  const lostStarts: readonly [StartFault, string][] = [
    ['lose-reply', 'took effect'],
    ['lose-call', 'did not arrive'],
  ];
  for (const [fault, title] of lostStarts) {
    // The reply to a start is lost. A retry under a new token would start two
    // hosts; no retry would leave the service one host short.
    it(`ends with one host after a start without a reply that ${title}`, async () => {
      const fake = createFakeCloud();
      fake.startFaults.push(fault);
      const {clock} = createDuty(fake);
      await clock.advance(30_000);
      assert.equal(fake.hosts.size, 4);
    });
  }

  // A failure domain rejects a start. Retrying only there would leave the
  // service without replicas that other domains could provide.
  it('uses another failure domain when a start is rejected', async () => {
    const fake = createFakeCloud();
    fake.startFaults.push('refuse');
    const {clock} = createDuty(fake);
    await clock.advance(12_000);
    assert.ok(liveHosts(fake).length >= 4);
  });

  it('replaces a host on its reclaim notice, before it is gone', async () => {
    const fake = createFakeCloud();
    const {clock} = createDuty(fake);
    await clock.advance(6_000);
    const first = liveHosts(fake)[0]!;
    fake.reclaim(first.id);
    await clock.advance(1_000);
    assert.equal(liveHosts(fake).length, 4);
  });

  // A new holder has no load reports yet. Treating that as zero load would stop
  // busy hosts, and answers would be late until they are replaced.
  it('stops no hosts while it has no load reports', async () => {
    const fake = createFakeCloud();
    const busy = createDuty(fake, 1);
    busy.state.reports = [report(30, 8), report(30, 8)];
    await busy.clock.advance(30_000);
    const count = fake.hosts.size;
    assert.ok(count > 6, `${count} hosts`);
    busy.duty.dispose();
    const next = createDuty(fake, 2);
    await next.clock.advance(60_000);
    assert.equal(fake.hosts.size, count);
  });

  // The duty changes hands. The new holder must count the hosts that the earlier
  // holder started, and not start them again.
  it('counts the hosts that an earlier holder started', async () => {
    const fake = createFakeCloud();
    const first = createDuty(fake, 1);
    await first.clock.advance(6_000);
    first.duty.dispose();
    const second = createDuty(fake, 2);
    await second.clock.advance(30_000);
    assert.equal(fake.hosts.size, 4);
  });

  it('stops the hosts of a service whose record is gone', async () => {
    const fake = createFakeCloud();
    const {clock, state} = createDuty(fake);
    await clock.advance(6_000);
    const other = {...service, name: 'other'};
    state.services = [other];
    await clock.advance(12_000);
    const owners = liveHosts(fake).map(host => host.clientToken.split('/')[1]);
    assert.deepEqual(new Set(owners), new Set(['other']));
  });

  it('starts no hosts while its term is not valid', async () => {
    const fake = createFakeCloud();
    const {clock, state} = createDuty(fake);
    state.isValid = false;
    await clock.advance(60_000);
    assert.equal(fake.hosts.size, 0);
  });
});
