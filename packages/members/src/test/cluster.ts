/** Simulated cluster of entries in one test process, on a virtual clock. */
import {
  createDecisionLog,
  hash32,
  seededRandom,
  createSilentLogger,
  createVirtualClock,
} from '@skylarkfield/base';
import {createMemoryPlatform} from '@skylarkfield/providers';
import {MEMORY_URL_PREFIX, createMemoryNetwork} from '@skylarkfield/protocol';
import {createMembership, type Membership} from '../index.js';

/** Creates a cluster whose entries can be started, crashed and partitioned. */
export function createCluster(seed = 1) {
  const clock = createVirtualClock();
  const random = seededRandom(seed);
  const net = createMemoryNetwork({clock, random});
  const platform = createMemoryPlatform({clock, random});
  const memberships = new Map<string, Membership>();
  let incarnation = 0;

  function start(id: string, seeds: readonly string[] = []): Membership {
    const peer = net.start(id);
    incarnation += 1;
    const membership = createMembership({
      self: {
        id,
        incarnation,
        callerUrl: `http://${id}`,
        innerUrl: MEMORY_URL_PREFIX + id,
        failureDomain: `domain-${domainIndex(id)}`,
        region: 'region-1',
      },
      store: platform.createClient(id),
      network: peer.network,
      clock: peer.clock,
      // The seed is hashed, as similar small seeds produce nearly the same
      // first numbers.
      random: seededRandom(hash32(`${seed}/${incarnation}`)),
      log: createSilentLogger(),
      decisions: createDecisionLog(clock, createSilentLogger()),
      seeds: seeds.map(seedId => MEMORY_URL_PREFIX + seedId),
    });
    memberships.set(id, membership);
    return membership;
  }

  return {
    clock,
    net,
    platform,
    memberships,
    /** Ids of the member objects stored on the platform. */
    objectNames(): string[] {
      const {objects} = platform.table.list('member');
      return objects.map(object => object.name).sort();
    },
    platformCalls(): number {
      const {reads, writes} = platform.callCounts();
      return reads + writes;
    },
    start,
    startMany(count: number) {
      const ids = Array.from({length: count}, (_, index) => `m${index}`);
      ids.forEach(id => start(id));
      return ids;
    },
    crash(id: string) {
      net.crash(id);
      memberships.delete(id);
    },
    /** Performs a planned stop: leaves, then disposes. */
    async stop(id: string) {
      const membership = memberships.get(id)!;
      memberships.delete(id);
      const leaving = membership.leave();
      await clock.advance(3_000);
      await leaving;
      membership.dispose();
      net.crash(id);
    },
    isolate(id: string, otherIds: Iterable<string>) {
      for (const other of otherIds) {
        net.partition(id, other);
        net.partition(other, id);
      }
    },
    /** Ids of the members that an entry considers live. */
    liveIdsSeenBy(id: string): string[] {
      const liveMembers = memberships.get(id)!.liveMembers();
      return liveMembers.map(member => member.id).sort();
    },
  };
}

export type Cluster = ReturnType<typeof createCluster>;

const DOMAIN_COUNT = 4;

function domainIndex(id: string): number {
  return Number(id.replace(/\D/g, '') || 0) % DOMAIN_COUNT;
}
