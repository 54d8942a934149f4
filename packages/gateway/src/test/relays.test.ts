import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {virtualClock} from '@skylarkfield/base';
import type {Messages} from '@skylarkfield/protocol';
import type {CrashReport} from '@skylarkfield/routing';
import {createQuotas, NO_WORK} from '@skylarkfield/traffic';
import {createPeerReports, type PeerReports} from '../peerReports.js';
import {
  MAX_FULL_MESH_ENTRIES,
  planRelays,
  type DigestScope,
  type RelayNode,
  type RelayPlan,
} from '../relayPlan.js';

type Digest = Messages['digest'];

const SILENCE_MS = 1_200;
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

/** Entries that exchange digests by the plan, each with one request at its own endpoint. */
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
          silenceMs: SILENCE_MS,
          quotaWindowMs: QUOTA_WINDOW_MS,
        }),
        /** Milliseconds since its process started. */
        upMs: 3_600_000,
        /** Quota amounts of others, as an entry's buckets get them. */
        heardUsed: new Map<string, number>(),
        /** Fingerprints under which endpoints crashed, as others tell. */
        heardCrashes: new Set<string>(),
      },
    ]),
  );
  const silent = new Set<string>();
  /** Crashes that entries tell. */
  const crashes = new Map<string, CrashReport>();
  let sent = 0;

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
        ...(crashes.get(node.id) && {crashes: crashes.get(node.id)}),
        work: {chat: {...NO_WORK, ownTokens: 5}},
        outcomes: {chat: {count: 2, late: 1}},
      }),
    };
  }

  function round(): void {
    for (const entry of entries.values()) {
      if (silent.has(entry.node.id)) {
        continue;
      }
      const plan = planRelays(entry.node, nodes);
      const isSpare =
        plan.activeRelay !== undefined && !silent.has(plan.activeRelay);
      for (const [to, scope] of plan.targets) {
        if (silent.has(to) || (isSpare && scope !== 'own')) {
          continue;
        }
        sent += 1;
        deliver(entry, to, digestOf(entry, scope, to));
      }
    }
    clock.advanceSync(DIGEST_MS);
  }

  function deliver(from: Entry, to: string, digest: Digest): void {
    const receiver = entries.get(to)!;
    for (const {request} of digest.crashes?.crashes ?? []) {
      receiver.heardCrashes.add(request);
    }
    const taken = receiver.reports.take(from.node.id, digest);
    if (taken !== undefined) {
      const heard = receiver.heardUsed.get(taken.source) ?? 0;
      receiver.heardUsed.set(
        taken.source,
        heard + (taken.increase['chain'] ?? 0),
      );
    }
  }

  return {
    entries,
    silent,
    crashes,
    digestFrom: (from: string, to: string) =>
      digestOf(entries.get(from)!, 'own', to),
    rounds(count: number) {
      for (let index = 0; index < count; index++) {
        round();
      }
    },
    sentIn(rounds: number): number {
      const before = sent;
      this.rounds(rounds);
      return (sent - before) / rounds;
    },
  };
}

function heardOf({heardUsed}: {heardUsed: Map<string, number>}): number {
  return [...heardUsed.values()].reduce((sum, amount) => sum + amount, 0);
}

function requestsSeen(reports: PeerReports, id: string): number {
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
  it('lets everyone tell everyone up to a bound', () => {
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

  // Guards against a crashing request that entries behind other relays go on sending.
  it('tells every entry of the crashes that others saw', () => {
    const fleet = createFleet(fleetOf(77));
    const [first, ...others] = fleet.entries.keys();
    const crash = {request: 'f00d', endpoint: 'i-1@7', atMs: 0};
    fleet.crashes.set(first!, {crashes: [crash], served: {}});
    fleet.rounds(5);
    for (const id of others) {
      assert.ok(fleet.entries.get(id)!.heardCrashes.has('f00d'), id);
    }
  });

  it('gives every entry the load, work and use of all others', () => {
    const nodes = fleetOf(77);
    const fleet = createFleet(nodes);
    fleet.rounds(5);
    fleet.entries.forEach(entry => (entry.used += 10));
    fleet.rounds(5);
    for (const [id, entry] of fleet.entries) {
      const {coordinators, ownRelays: upstream} = planRelays(entry.node, nodes);
      assert.equal(entry.reports.visiblePeers(), 76, id);
      assert.equal(entry.reports.workOf('chat').ownTokens, 76 * 5, id);
      assert.equal(heardOf(entry), 76 * 10, id);
      if (upstream.length === 0) {
        assert.ok(coordinators.includes(id));
        assert.equal(requestsSeen(entry.reports, id), 76, id);
      }
    }
  });

  it('goes on through the second relay when the first dies, and counts nothing twice', () => {
    // A first relay is killed while a customer uses its quota all over the
    // system. If the second one's sums were taken as new use, the customer
    // would be refused for seconds; if nobody spoke, it would have the quota
    // once at each entry.
    const nodes = fleetOf(40);
    const fleet = createFleet(nodes);
    fleet.rounds(5);
    const leaf = nodes.find(
      node => planRelays(node, nodes).ownRelays.length > 0,
    )!;
    const [first = ''] = planRelays(leaf, nodes).ownRelays;
    fleet.entries.forEach(entry => (entry.used += 10));
    fleet.rounds(5);
    fleet.silent.add(first);
    fleet.rounds(8);
    fleet.entries.forEach(entry => (entry.used += 1));
    fleet.rounds(5);
    const heard = heardOf(fleet.entries.get(leaf.id)!);
    assert.equal(heard, 39 * 10 + 38);
    assert.equal(fleet.entries.get(leaf.id)!.reports.visiblePeers(), 38);
  });

  it('charges a customer at this entry for what it uses at another', () => {
    // One customer is spread over entries. If a report changed after it was
    // handed on, the next one would show no increase, and each entry would
    // grant the whole quota.
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
    assert.ok(quotas.tryTake(customer, 1));
    for (const used of [0, 60, 120]) {
      const digest = {
        ...fleet.digestFrom('entry-1', 'entry-0'),
        used: {chain: used},
      };
      const taken = reports.take('entry-1', digest)!;
      quotas.noteIncrease(taken.increase);
    }
    assert.ok(!quotas.tryTake(customer, 1));
  });

  it('takes a restarted entry for a new one', () => {
    // A process is killed and starts again with counters at zero. Taken as
    // decreases, they would give its customers their used quota back.
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
    assert.equal(heardOf(fleet.entries.get('entry-0')!), 507);
  });

  // Guards against what a new process granted before its first report, and hours of an old one's use.
  it('counts what an entry used before it was first heard when it has just started', () => {
    const nodes = fleetOf(3);
    const fleet = createFleet(nodes);
    const [first, second] = ['entry-1', 'entry-2'].map(
      id => fleet.entries.get(id)!,
    );
    first!.used = 1_000_000;
    fleet.silent.add('entry-2');
    fleet.rounds(2);
    assert.equal(heardOf(fleet.entries.get('entry-0')!), 0);
    second!.used = 500;
    second!.upMs = 600;
    fleet.silent.delete('entry-2');
    fleet.rounds(1);
    second!.used = 507;
    fleet.rounds(2);
    assert.equal(heardOf(fleet.entries.get('entry-0')!), 507);
  });

  it('lets leaving entries speak but not relay', () => {
    const nodes = fleetOf(40).map(node => ({
      ...node,
      isLive: node.failureDomain !== 'a' || node.id === 'entry-0',
    }));
    const leaving = nodes.find(node => !node.isLive)!;
    const {
      targets,
      ownRelays: upstream,
      coordinators,
    } = planRelays(leaving, nodes);
    assert.deepEqual(upstream, ['entry-0']);
    assert.deepEqual([...targets], [['entry-0', 'own']]);
    assert.ok(!coordinators.includes(leaving.id));
  });

  // Guards against a relay on a host that its own callers keep busy.
  it('relays on the entries with the most cores', () => {
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
