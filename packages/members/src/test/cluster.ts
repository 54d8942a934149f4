/** Many entries in one test process, on a virtual clock. */
import {
  ServingError,
  decisionLog,
  seededRandom,
  silentLogger,
  toDisposable,
  virtualClock,
} from '@skylarkfield/base';
import type {ObjectStore, StoredObject} from '@skylarkfield/platform';
import {MEMORY_SCHEME, createMemoryNetwork} from '@skylarkfield/protocol';
import {createMembership, type Membership} from '../index.js';

/** Just enough of the object API for member objects, with an outage switch. */
export function memoryObjects() {
  const objects = new Map<string, StoredObject>();
  let version = 0;
  let isDown = false;
  let calls = 0;
  function call() {
    calls += 1;
    if (isDown) {
      throw new ServingError('platform-unavailable', 'down');
    }
  }
  const store: ObjectStore = {
    async get(kind, name) {
      call();
      return objects.get(`${kind}/${name}`) as never;
    },
    async list() {
      call();
      return {version, objects: [...objects.values()] as never};
    },
    async put(kind, name, value) {
      call();
      version += 1;
      const object = {kind, name, version, writeId: `${version}`, value};
      objects.set(`${kind}/${name}`, object);
      return object;
    },
    async remove(kind, name, condition) {
      call();
      const found = objects.get(`${kind}/${name}`);
      const isOther =
        condition.type === 'version' && found?.version !== condition.version;
      if (found !== undefined && isOther) {
        throw new ServingError('version-conflict', 'changed');
      }
      objects.delete(`${kind}/${name}`);
    },
    watch: () => toDisposable(() => {}),
    state: () => (isDown ? 'down' : 'up'),
    onDidChangeState: () => toDisposable(() => {}),
    dispose: () => {},
  };
  return {
    store,
    setDown(value: boolean) {
      isDown = value;
    },
    names: () => [...objects.keys()].map(key => key.replace('member/', '')),
    calls: () => calls,
  };
}

/** A cluster of entries that can be started, crashed, paused and cut. */
export function createCluster(seed = 1) {
  const clock = virtualClock();
  const random = seededRandom(seed);
  const net = createMemoryNetwork({clock, random});
  const platform = memoryObjects();
  const running = new Map<string, Membership>();
  let incarnation = 0;

  function start(id: string, seeds: readonly string[] = []): Membership {
    const peer = net.start(id);
    incarnation += 1;
    const membership = createMembership({
      self: {
        id,
        incarnation,
        callerUrl: `http://${id}`,
        innerUrl: MEMORY_SCHEME + id,
        failureDomain: `domain-${hashDigit(id)}`,
        region: 'region-1',
      },
      store: platform.store,
      network: peer.network,
      clock: peer.clock,
      random: seededRandom(seed * 1000 + incarnation),
      log: silentLogger(),
      decisions: decisionLog(clock, silentLogger()),
      seeds: seeds.map(seedId => MEMORY_SCHEME + seedId),
    });
    running.set(id, membership);
    return membership;
  }

  return {
    clock,
    net,
    platform,
    running,
    start,
    startMany(count: number) {
      const ids = Array.from({length: count}, (_, index) => `m${index}`);
      ids.forEach(id => start(id));
      return ids;
    },
    crash(id: string) {
      net.crash(id);
      running.delete(id);
    },
    /** Leaves and ends, as a planned stop does. */
    async stop(id: string) {
      const membership = running.get(id)!;
      running.delete(id);
      const leaving = membership.leave();
      await clock.advance(3_000);
      await leaving;
      membership.dispose();
      net.crash(id);
    },
    cutOff(id: string, others: Iterable<string>) {
      for (const other of others) {
        net.cut(id, other);
        net.cut(other, id);
      }
    },
    /** Ids that an entry offers to callers. */
    liveAt(id: string): string[] {
      const live = running.get(id)!.live();
      return live.map(member => member.id).sort();
    },
  };
}

export type Cluster = ReturnType<typeof createCluster>;

const DOMAINS = 4;

function hashDigit(id: string): number {
  return Number(id.replace(/\D/g, '') || 0) % DOMAINS;
}
