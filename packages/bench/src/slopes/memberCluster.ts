/** Memberships of many entries on a virtual clock and an in-process network. */
import {
  createDecisionLog,
  hash32,
  seededRandom,
  createSilentLogger,
  createVirtualClock,
} from '@skylarkfield/base';
import {createMembership, type Membership} from '@skylarkfield/members';
import {createMemoryPlatform} from '@skylarkfield/providers';
import {MEMORY_URL_PREFIX, createMemoryNetwork} from '@skylarkfield/protocol';

const FAILURE_DOMAIN_COUNT = 10;

/**
 * Creates a cluster of simulated entries in ten failure domains.
 *
 * @example
 * const cluster = createMemberCluster(1, 100);
 * await cluster.clock.advance(60_000);
 */
export function createMemberCluster(seed: number, memberCount: number) {
  const clock = createVirtualClock();
  const random = seededRandom(seed);
  const net = createMemoryNetwork({clock, random});
  const platform = createMemoryPlatform({clock, random});
  const decisions = createDecisionLog(clock, createSilentLogger());
  const members = new Map<string, Membership>();
  let incarnation = 0;

  function domainOf(id: string): string {
    return `domain-${Number(id.slice(1)) % FAILURE_DOMAIN_COUNT}`;
  }

  function start(id: string) {
    const peer = net.start(id);
    incarnation += 1;
    const membership = createMembership({
      self: {
        id,
        incarnation,
        callerUrl: `http://10.0.0.1:8080/${id}`,
        innerUrl: MEMORY_URL_PREFIX + id,
        failureDomain: domainOf(id),
        region: 'region-1',
      },
      store: platform.createClient(id),
      network: peer.network,
      clock: peer.clock,
      // Consecutive small seeds give nearly the same first numbers.
      random: seededRandom(hash32(`${seed}/${incarnation}`)),
      log: createSilentLogger(),
      decisions,
      load: () => 20,
    });
    members.set(id, membership);
  }

  const ids = Array.from({length: memberCount}, (_, index) => `e${index}`);
  ids.forEach(start);
  return {
    clock,
    net,
    random,
    decisions,
    members,
    platform,
    domainOf,
    start,
    crash(id: string) {
      net.crash(id);
      members.delete(id);
    },
    /** Returns the number of members that list exactly the running members. */
    countAgreeing(): number {
      const runningCount = members.size;
      return [...members.values()].filter(
        membership =>
          membership.liveMembers().length === runningCount &&
          membership.liveMembers().every(member => members.has(member.id)),
      ).length;
    },
    /** Returns the number of members that still list one of the given ids. */
    countListing(ids: ReadonlySet<string>): number {
      return [...members.values()].filter(membership =>
        membership.liveMembers().some(member => ids.has(member.id)),
      ).length;
    },
  };
}

export type MemberCluster = ReturnType<typeof createMemberCluster>;
