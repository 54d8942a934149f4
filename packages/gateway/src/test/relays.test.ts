import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {virtualClock} from '@skylarkfield/base';
import type {Messages} from '@skylarkfield/protocol';
import type {CrashReport} from '@skylarkfield/routing';
import {createQuotas, ZERO_WORK} from '@skylarkfield/traffic';
import {createPeerReports, type PeerReports} from '../peerReports.js';
import {
  MAX_FULL_MESH_ENTRIES,
  planRelays,
  type DigestScope,
  type RelayNode,
  type RelayPlan,
} from '../relayPlan.js';

type Digest = Messages['digest'];

const PEER_TIMEOUT_MS = 1_200;
const QUOTA_WINDOW_MS = 8_000;
const DIGEST_MS = 300;
const DOMAINS = ['a', 'b', 'c', 'd'];

function fleetOf(count: number): RelayNode[] {
  return Array.from({length: count}, (_, index) => ({
    id: `entry-${index}`,
    failureDomain: DOMAINS[index % DOMAINS.length]!,
    isLive: true,
    cores: 1,
  }));
}

const syncStatus = {
  revision: 1,
  changedAt: 1,
  confirmedAgoMs: 0,
  isReader: false,
};

/** Creates entries that exchange digests by the plan. */
function createFleet(nodes: readonly RelayNode[]) {
  const clock = virtualClock();
  const entries = new Map(
    nodes.map(node => [
      node.id,
      {
        node,
        incarnation: 1,
        used: 0,
        reports: createPeerReports({
          clock,
          failureDomain: node.failureDomain,
          reporterTimeoutMs: PEER_TIMEOUT_MS,
          quotaWindowMs: QUOTA_WINDOW_MS,
        }),
        /** Milliseconds since its process started. */
        upMs: 3_600_000,
        /** Quota usage of others, as passed to an entry's quotas. */
        usedByOthers: new Map<string, number>(),
        /** Fingerprints of crash reports received from others. */
        receivedCrashes: new Set<string>(),
      },
    ]),
  );
  const failed = new Set<string>();
  /** Crash reports to propagate, by entry. */
  const crashReports = new Map<string, CrashReport>();
  let sentCount = 0;

  type Entry = NonNullable<ReturnType<typeof entries.get>>;

  function digestOf(
    {node, incarnation, upMs, used, reports}: Entry,
    scope: DigestScope,
    receiver: string,
  ): Digest {
    return {
      scope,
      failureDomain: node.failureDomain,
      incarnation,
      upMs,
      stamp: 0,
      wallMs: 0,
      mirrors: {
        policy: syncStatus,
        endpoints: syncStatus,
        rollouts: syncStatus,
      },
      usage: {},
      ...reports.aggregateFor(scope, receiver, {
        entries: 1,
        used: {chain: used},
        loads: {
          shared: {requests: 1, pendingTokens: 10, contextTokens: 100},
        },
        limits: {},
        ...(crashReports.get(node.id) && {
          crashes: crashReports.get(node.id),
        }),
        work: {chat: {...ZERO_WORK, ownTokens: 5}},
        outcomes: {chat: {count: 2, late: 1}},
      }),
    };
  }

  function round(): void {
    for (const entry of entries.values()) {
      if (failed.has(entry.node.id)) {
        continue;
      }
      const plan = planRelays(entry.node, nodes);
      const isActiveRelayAlive =
        plan.activeRelay !== undefined && !failed.has(plan.activeRelay);
      for (const [to, scope] of plan.targets) {
        if (failed.has(to) || (isActiveRelayAlive && scope !== 'own')) {
          continue;
        }
        sentCount += 1;
        deliver(entry, to, digestOf(entry, scope, to));
      }
    }
    clock.advanceSync(DIGEST_MS);
  }

  function deliver(from: Entry, to: string, digest: Digest): void {
    const receiver = entries.get(to)!;
    for (const {request} of digest.crashes?.crashes ?? []) {
      receiver.receivedCrashes.add(request);
    }
    const accepted = receiver.reports.accept(from.node.id, digest);
    if (accepted !== undefined) {
      const used = receiver.usedByOthers.get(accepted.origin) ?? 0;
      receiver.usedByOthers.set(
        accepted.origin,
        used + (accepted.increase['chain'] ?? 0),
      );
    }
  }

  return {
    entries,
    failed,
    crashReports,
    digestFrom: (from: string, to: string) =>
      digestOf(entries.get(from)!, 'own', to),
    rounds(count: number) {
      for (let index = 0; index < count; index++) {
        round();
      }
    },
    sentIn(rounds: number): number {
      const before = sentCount;
      this.rounds(rounds);
      return (sentCount - before) / rounds;
    },
  };
}

function usedByOthersTotal({
  usedByOthers,
}: {
  usedByOthers: Map<string, number>;
}): number {
  return [...usedByOthers.values()].reduce((sum, amount) => sum + amount, 0);
}

function reportedRequests(reports: PeerReports, id: string): number {
  const nothing = {
    entries: 0,
    used: {},
    loads: {},
    limits: {},
    work: {},
    outcomes: {},
  };
  const sum = reports.aggregateFor('rest', id, nothing);
  return sum.loads['shared']?.requests ?? 0;
}

function plans(nodes: readonly RelayNode[]): Map<string, RelayPlan> {
  return new Map(nodes.map(node => [node.id, planRelays(node, nodes)]));
}

describe('relays', () => {
  it('uses a full mesh up to a maximum size', () => {
    const nodes = fleetOf(MAX_FULL_MESH_ENTRIES);
    for (const plan of plans(nodes).values()) {
      assert.equal(plan.targets.size, MAX_FULL_MESH_ENTRIES - 1);
      assert.equal(plan.coordinators.length, MAX_FULL_MESH_ENTRIES);
      assert.deepEqual(plan.ownRelays, []);
    }
  });

  it('sends digests in proportion to the entries, not to their square', () => {
    const perEntry = [77, 300].map(
      count => createFleet(fleetOf(count)).sentIn(4) / count,
    );
    for (const digests of perEntry) {
      assert.ok(digests < 4, `${digests} digests an entry and round`);
    }
  });

  // Guards against entries behind other relays that still send a crashing
  // request.
  it('propagates crashes to every entry', () => {
    const fleet = createFleet(fleetOf(77));
    const [first, ...others] = fleet.entries.keys();
    const crash = {request: 'f00d', endpoint: 'i-1@7', atMs: 0};
    fleet.crashReports.set(first!, {crashes: [crash], served: {}});
    fleet.rounds(5);
    for (const id of others) {
      assert.ok(fleet.entries.get(id)!.receivedCrashes.has('f00d'), id);
    }
  });

  it('propagates the load, work and usage of all entries', () => {
    const nodes = fleetOf(77);
    const fleet = createFleet(nodes);
    fleet.rounds(5);
    fleet.entries.forEach(entry => (entry.used += 10));
    fleet.rounds(5);
    for (const [id, entry] of fleet.entries) {
      const {coordinators, ownRelays} = planRelays(entry.node, nodes);
      assert.equal(entry.reports.visiblePeers(), 76, id);
      assert.equal(entry.reports.workOf('chat').ownTokens, 76 * 5, id);
      assert.equal(usedByOthersTotal(entry), 76 * 10, id);
      if (ownRelays.length === 0) {
        assert.ok(coordinators.includes(id));
        assert.equal(reportedRequests(entry.reports, id), 76, id);
      }
    }
  });

  it('fails over to the standby relay without counting usage twice', () => {
    // The active relay is killed while a customer uses its quota at all
    // entries. If the standby's sums counted as new usage, the customer would
    // be rejected for seconds; without a relay, it would have the whole quota
    // at each entry.
    const nodes = fleetOf(40);
    const fleet = createFleet(nodes);
    fleet.rounds(5);
    const leaf = nodes.find(
      node => planRelays(node, nodes).ownRelays.length > 0,
    )!;
    const [first = ''] = planRelays(leaf, nodes).ownRelays;
    fleet.entries.forEach(entry => (entry.used += 10));
    fleet.rounds(5);
    fleet.failed.add(first);
    fleet.rounds(8);
    fleet.entries.forEach(entry => (entry.used += 1));
    fleet.rounds(5);
    const received = usedByOthersTotal(fleet.entries.get(leaf.id)!);
    assert.equal(received, 39 * 10 + 38);
    assert.equal(fleet.entries.get(leaf.id)!.reports.visiblePeers(), 38);
  });

  it('charges a customer for its usage at other entries', () => {
    // The customer's requests are spread over entries. If a stored report
    // changed after it was passed on, the next one would show no increase, and
    // each entry would grant the whole quota.
    const nodes = fleetOf(2);
    const fleet = createFleet(nodes);
    const quotas = createQuotas(virtualClock());
    const {reports} = fleet.entries.get('entry-0')!;
    const quota = {unit: 'tokens', perSecond: 1, burst: 100} as const;
    const customer = {
      name: 'chain',
      keys: [],
      priority: undefined,
      quota: {...quota, plainTokens: 1},
    };
    assert.ok(quotas.tryConsume(customer, 1));
    for (const used of [0, 60, 120]) {
      const digest = {
        ...fleet.digestFrom('entry-1', 'entry-0'),
        used: {chain: used},
      };
      const accepted = reports.accept('entry-1', digest)!;
      quotas.addPeerUsage(accepted.increase);
    }
    assert.ok(!quotas.tryConsume(customer, 1));
  });

  it('treats a restarted entry as a new one', () => {
    // A process is killed and restarts with counters at zero. Taken as
    // decreases, these would refund its customers' quota.
    const nodes = fleetOf(3);
    const fleet = createFleet(nodes);
    fleet.rounds(2);
    const restarted = fleet.entries.get('entry-1')!;
    restarted.used = 500;
    fleet.rounds(2);
    restarted.used = 0;
    restarted.incarnation = 2;
    fleet.rounds(2);
    restarted.used = 7;
    fleet.rounds(2);
    assert.equal(usedByOthersTotal(fleet.entries.get('entry-0')!), 507);
  });

  // Guards against ignoring the usage of a new process before its first report,
  // and against counting hours of usage of an old one.
  it('counts usage before the first report of an entry that has just started', () => {
    const nodes = fleetOf(3);
    const fleet = createFleet(nodes);
    const [longRunning, justStarted] = ['entry-1', 'entry-2'].map(
      id => fleet.entries.get(id)!,
    );
    longRunning!.used = 1_000_000;
    fleet.failed.add('entry-2');
    fleet.rounds(2);
    assert.equal(usedByOthersTotal(fleet.entries.get('entry-0')!), 0);
    justStarted!.used = 500;
    justStarted!.upMs = 600;
    fleet.failed.delete('entry-2');
    fleet.rounds(1);
    justStarted!.used = 507;
    fleet.rounds(2);
    assert.equal(usedByOthersTotal(fleet.entries.get('entry-0')!), 507);
  });

  it('does not use draining entries as relays', () => {
    const nodes = fleetOf(40).map(node => ({
      ...node,
      isLive: node.failureDomain !== 'a' || node.id === 'entry-0',
    }));
    const leaving = nodes.find(node => !node.isLive)!;
    const {targets, ownRelays, coordinators} = planRelays(leaving, nodes);
    assert.deepEqual(ownRelays, ['entry-0']);
    assert.deepEqual([...targets], [['entry-0', 'own']]);
    assert.ok(!coordinators.includes(leaving.id));
  });

  // Guards against a relay on a host that is busy with its own callers.
  it('selects the entries with the most cores as relays', () => {
    const nodes = fleetOf(120).map((node, index) => ({
      ...node,
      cores: index < 12 ? 1.35 : 0.324,
    }));
    const relays = nodes.filter(
      node => planRelays(node, nodes).ownRelays.length === 0,
    );
    assert.equal(relays.length, 2 * DOMAINS.length);
    assert.ok(relays.every(({cores}) => cores === 1.35));
  });
});
