import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualClock} from '@skylarkfield/base';
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
const DIGEST_INTERVAL_MS = 300;
const DOMAINS = ['a', 'b', 'c', 'd'];

function createNodes(count: number): RelayNode[] {
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

/** Creates entries that exchange digests by their relay plans. */
function createFleet(nodes: readonly RelayNode[]) {
  const clock = createVirtualClock();
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
        /** Milliseconds since the entry's process started. */
        upMs: 3_600_000,
        /** Quota usage by origin, as passed to the quotas of the entry. */
        usedByOthers: new Map<string, number>(),
        /** Fingerprints of the crashes reported by other entries. */
        receivedCrashes: new Set<string>(),
      },
    ]),
  );
  const failedIds = new Set<string>();
  /** Crash reports to propagate, by entry id. */
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
        departures: {},
        ...(crashReports.get(node.id) && {
          crashes: crashReports.get(node.id),
        }),
        work: {chat: {...ZERO_WORK, ownTokens: 5}},
        outcomes: {chat: {count: 2, late: 1}},
      }),
    };
  }

  function runRound(): void {
    for (const entry of entries.values()) {
      if (failedIds.has(entry.node.id)) {
        continue;
      }
      const plan = planRelays(entry.node, nodes);
      const isActiveRelayAlive =
        plan.activeRelayId !== undefined && !failedIds.has(plan.activeRelayId);
      for (const [receiverId, scope] of plan.targets) {
        if (
          failedIds.has(receiverId) ||
          (isActiveRelayAlive && scope !== 'own')
        ) {
          continue;
        }
        sentCount += 1;
        deliver(entry, receiverId, digestOf(entry, scope, receiverId));
      }
    }
    clock.advanceSync(DIGEST_INTERVAL_MS);
  }

  function deliver(sender: Entry, receiverId: string, digest: Digest): void {
    const receiver = entries.get(receiverId)!;
    for (const {request} of digest.crashes?.crashes ?? []) {
      receiver.receivedCrashes.add(request);
    }
    const acceptedReport = receiver.reports.acceptDigest(
      sender.node.id,
      digest,
    );
    if (acceptedReport !== undefined) {
      const used = receiver.usedByOthers.get(acceptedReport.origin) ?? 0;
      receiver.usedByOthers.set(
        acceptedReport.origin,
        used + (acceptedReport.increase['chain'] ?? 0),
      );
    }
  }

  return {
    entries,
    failedIds,
    crashReports,
    digestFrom: (senderId: string, receiverId: string) =>
      digestOf(entries.get(senderId)!, 'own', receiverId),
    runRounds(count: number) {
      for (let index = 0; index < count; index++) {
        runRound();
      }
    },
    /**
     * Runs rounds and returns the average number of digests sent in a round.
     */
    digestsPerRound(roundCount: number): number {
      const previousCount = sentCount;
      this.runRounds(roundCount);
      return (sentCount - previousCount) / roundCount;
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

function aggregatedRequests(reports: PeerReports, id: string): number {
  const emptyReport = {
    entries: 0,
    used: {},
    loads: {},
    limits: {},
    departures: {},
    work: {},
    outcomes: {},
  };
  const sum = reports.aggregateFor('rest', id, emptyReport);
  return sum.loads['shared']?.requests ?? 0;
}

function plansById(nodes: readonly RelayNode[]): Map<string, RelayPlan> {
  return new Map(nodes.map(node => [node.id, planRelays(node, nodes)]));
}

describe('relays', () => {
  it('uses a full mesh up to the maximum number of entries', () => {
    const nodes = createNodes(MAX_FULL_MESH_ENTRIES);
    for (const plan of plansById(nodes).values()) {
      assert.equal(plan.targets.size, MAX_FULL_MESH_ENTRIES - 1);
      assert.equal(plan.coordinatorIds.length, MAX_FULL_MESH_ENTRIES);
      assert.deepEqual(plan.relayIds, []);
    }
  });

  it('sends less than four digests per entry and round in large fleets', () => {
    const digestsPerEntry = [77, 300].map(
      count => createFleet(createNodes(count)).digestsPerRound(4) / count,
    );
    for (const digests of digestsPerEntry) {
      assert.ok(digests < 4, `${digests} digests an entry and round`);
    }
  });

  // Guards against a crashing request that is still sent by entries behind
  // other relays.
  it('propagates a crash report to every entry', () => {
    const fleet = createFleet(createNodes(77));
    const [firstId, ...otherIds] = fleet.entries.keys();
    const crash = {request: 'f00d', endpoint: 'i-1@7', atMs: 0};
    fleet.crashReports.set(firstId!, {crashes: [crash], served: {}});
    fleet.runRounds(5);
    for (const id of otherIds) {
      assert.ok(fleet.entries.get(id)!.receivedCrashes.has('f00d'), id);
    }
  });

  it('propagates the load, work and usage of all entries', () => {
    const nodes = createNodes(77);
    const fleet = createFleet(nodes);
    fleet.runRounds(5);
    fleet.entries.forEach(entry => (entry.used += 10));
    fleet.runRounds(5);
    for (const [id, entry] of fleet.entries) {
      const {coordinatorIds, relayIds} = planRelays(entry.node, nodes);
      assert.equal(entry.reports.visiblePeerCount(), 76, id);
      assert.equal(entry.reports.peerWorkRate('chat').ownTokens, 76 * 5, id);
      assert.equal(usedByOthersTotal(entry), 76 * 10, id);
      if (relayIds.length === 0) {
        assert.ok(coordinatorIds.includes(id));
        assert.equal(aggregatedRequests(entry.reports, id), 76, id);
      }
    }
  });

  it('fails over to the standby relay without counting usage twice', () => {
    // The active relay is killed while a customer uses its quota at all
    // entries. If the sums of the standby relay counted as new usage, the
    // customer would be rejected for seconds; without a relay, the customer
    // would get the whole quota at each entry.
    const nodes = createNodes(40);
    const fleet = createFleet(nodes);
    fleet.runRounds(5);
    const nonRelay = nodes.find(
      node => planRelays(node, nodes).relayIds.length > 0,
    )!;
    const [activeRelayId = ''] = planRelays(nonRelay, nodes).relayIds;
    fleet.entries.forEach(entry => (entry.used += 10));
    fleet.runRounds(5);
    fleet.failedIds.add(activeRelayId);
    fleet.runRounds(8);
    fleet.entries.forEach(entry => (entry.used += 1));
    fleet.runRounds(5);
    const receivedUsage = usedByOthersTotal(fleet.entries.get(nonRelay.id)!);
    assert.equal(receivedUsage, 39 * 10 + 38);
    assert.equal(
      fleet.entries.get(nonRelay.id)!.reports.visiblePeerCount(),
      38,
    );
  });

  it('charges a customer for its usage at other entries', () => {
    // The customer's requests are spread over entries. If a stored report
    // changed after its increase was returned, the next report would show no
    // increase, and each entry would grant the whole quota.
    const nodes = createNodes(2);
    const fleet = createFleet(nodes);
    const quotas = createQuotas(createVirtualClock());
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
      const acceptedReport = reports.acceptDigest('entry-1', digest)!;
      quotas.recordPeerUsage(acceptedReport.increase);
    }
    assert.ok(!quotas.tryConsume(customer, 1));
  });

  it('counts the usage of a restarted entry from zero', () => {
    // A process is killed and restarts with usage counters at zero. If the
    // lower counters were treated as negative usage, the quota of its customers
    // would be refunded.
    const nodes = createNodes(3);
    const fleet = createFleet(nodes);
    fleet.runRounds(2);
    const restartedEntry = fleet.entries.get('entry-1')!;
    restartedEntry.used = 500;
    fleet.runRounds(2);
    restartedEntry.used = 0;
    restartedEntry.incarnation = 2;
    fleet.runRounds(2);
    restartedEntry.used = 7;
    fleet.runRounds(2);
    assert.equal(usedByOthersTotal(fleet.entries.get('entry-0')!), 507);
  });

  // Guards against ignoring the usage of a new process before its first report,
  // and against counting the usage of a process that has run for hours.
  it('counts usage before the first report of an entry that has just started', () => {
    const nodes = createNodes(3);
    const fleet = createFleet(nodes);
    const [longRunningEntry, justStartedEntry] = ['entry-1', 'entry-2'].map(
      id => fleet.entries.get(id)!,
    );
    longRunningEntry!.used = 1_000_000;
    fleet.failedIds.add('entry-2');
    fleet.runRounds(2);
    assert.equal(usedByOthersTotal(fleet.entries.get('entry-0')!), 0);
    justStartedEntry!.used = 500;
    justStartedEntry!.upMs = 600;
    fleet.failedIds.delete('entry-2');
    fleet.runRounds(1);
    justStartedEntry!.used = 507;
    fleet.runRounds(2);
    assert.equal(usedByOthersTotal(fleet.entries.get('entry-0')!), 507);
  });

  it('does not use draining entries as relays', () => {
    const nodes = createNodes(40).map(node => ({
      ...node,
      isLive: node.failureDomain !== 'a' || node.id === 'entry-0',
    }));
    const drainingNode = nodes.find(node => !node.isLive)!;
    const {targets, relayIds, coordinatorIds} = planRelays(drainingNode, nodes);
    assert.deepEqual(relayIds, ['entry-0']);
    assert.deepEqual([...targets], [['entry-0', 'own']]);
    assert.ok(!coordinatorIds.includes(drainingNode.id));
  });

  // Guards against selecting a relay on a host that is busy with requests of
  // its own callers.
  it('selects the entries with the most cores as relays', () => {
    const nodes = createNodes(120).map((node, index) => ({
      ...node,
      cores: index < 12 ? 1.35 : 0.324,
    }));
    const relays = nodes.filter(
      node => planRelays(node, nodes).relayIds.length === 0,
    );
    assert.equal(relays.length, 2 * DOMAINS.length);
    assert.ok(relays.every(({cores}) => cores === 1.35));
  });
});
