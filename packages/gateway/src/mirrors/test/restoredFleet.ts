/** Simulated entries that mirror a store which returns from a copy. */
import {
  createDisposableStore,
  createSilentLogger,
  createVirtualClock,
  seededRandom,
  type Disposable,
  type VirtualClock,
} from '@skylarkfield/base';
import {createMemoryNetwork, type MemoryNetwork} from '@skylarkfield/protocol';
import type {Platform} from '../../contracts.js';
import {startDigests} from '../../digests/digests.js';
import {createPlatformView, type PlatformView} from '../platformView.js';
import {
  planRelays,
  type RelayNode,
  type RelayPlan,
} from '../../digests/relayPlan.js';
import {createEndpoint, createPolicy} from './mirroredValues.js';
import {
  createRestorableStore,
  type RestorableStore,
} from '../../test/restorableStore.js';

const DOMAINS = ['a', 'b', 'c', 'd'];
/** One-way delay between entries, in milliseconds. */
const PEER_DELAY_MS = 2;
/** Time in which entries read the store and hear of each other, in ms. */
const START_MS = 3_000;

export interface FleetEntry extends Disposable {
  readonly view: PlatformView;
  isCutFromStore: boolean;
}

export interface RestoredFleet {
  readonly clock: VirtualClock;
  readonly store: RestorableStore;
  readonly network: MemoryNetwork;
  /** Running entries by id. */
  readonly entries: ReadonlyMap<string, FleetEntry>;
  planOf(id: string): RelayPlan;
  /** Starts an entry; one that runs under the id is killed first. */
  start(id: string): void;
  kill(id: string): void;
  /** Cuts an entry from all others. */
  isolate(id: string): void;
}

/** Starts entries over a store with one policy and some endpoints. */
export async function startRestoredFleet(
  entryCount: number,
  seed: number,
): Promise<RestoredFleet> {
  const clock = createVirtualClock();
  const random = seededRandom(seed);
  const network = createMemoryNetwork({clock, random, delayMs: PEER_DELAY_MS});
  const store = createRestorableStore(clock);
  const entries = new Map<string, FleetEntry>();
  const connections = new Map<string, () => void>();
  const nodes: RelayNode[] = Array.from({length: entryCount}, (_, index) => ({
    id: `e${index}`,
    failureDomain: DOMAINS[index % DOMAINS.length]!,
    isLive: true,
    cores: 1,
  }));
  const nodeOf = (id: string) => nodes.find(node => node.id === id)!;
  const planOf = (id: string) =>
    planRelays(
      nodeOf(id),
      nodes.filter(node => entries.has(node.id) || node.id === id),
    );

  function start(id: string): void {
    kill(id);
    const peer = network.start(id);
    const disposables = createDisposableStore();
    const isCut = () => entries.get(id)?.isCutFromStore === true;
    const view = disposables.add(
      createPlatformView({
        platform: {
          policySource: store.createSource('policy', isCut),
          endpointSource: store.createSource('endpoints', isCut),
          rolloutSource: store.createSource('rollouts', isCut),
          domainDrainSource: store.createSource('domainDrains', isCut),
        } as unknown as Platform,
        crashReports: store.createSource('crashes', isCut),
        network: peer.network,
        self: id,
        plan: () => planOf(id),
        clock: peer.clock,
        random,
        log: createSilentLogger(),
      }),
    );
    disposables.add(
      startDigests({
        network: peer.network,
        clock: peer.clock,
        self: {failureDomain: nodeOf(id).failureDomain, incarnation: 1},
        plan: () => planOf(id),
        takeSnapshot: () => () => ({
          mirrors: view.syncStatuses(),
          usage: {},
          used: {},
          loads: {},
          work: {},
          outcomes: {},
        }),
        onDidReceive: (from, digest, timestamp) =>
          view.recordSyncStatuses(from, digest.mirrors, timestamp),
      }),
    );
    connections.set(id, () =>
      peer.network.setPeers(
        [...entries.keys()]
          .filter(other => other !== id)
          .map(other => ({
            id: other,
            incarnation: 1,
            url: `memory://${other}`,
          })),
      ),
    );
    entries.set(id, {
      view,
      isCutFromStore: false,
      dispose: () => disposables.dispose(),
    });
  }

  function connectAll(): void {
    connections.forEach(connect => connect());
  }

  function kill(id: string): void {
    entries.get(id)?.dispose();
    entries.delete(id);
    connections.delete(id);
    network.crash(id);
  }

  store.write('policy', 'main', createPolicy(1));
  for (let index = 0; index < 10; index++) {
    store.write('endpoints', `i-${index}`, createEndpoint(`i-${index}`));
  }
  nodes.forEach(({id}) => start(id));
  connectAll();
  await clock.advance(START_MS);
  return {
    clock,
    store,
    network,
    entries,
    planOf,
    start(id) {
      start(id);
      connectAll();
    },
    kill,
    isolate(id) {
      for (const other of entries.keys()) {
        network.partition(id, other);
        network.partition(other, id);
      }
    },
  };
}
