/** Configurations of many entries over an in-process network and platform. */
import {
  seededRandom,
  createSilentLogger,
  type Clock,
  type Disposable,
} from '@skylarkfield/base';
import {neighbourIdsOf} from '@skylarkfield/members';
import {
  createMemoryPlatform,
  type MemoryObjectStoreClient,
  type MemoryPlatform,
} from '@skylarkfield/providers';
import {
  createMemoryNetwork,
  MEMORY_URL_PREFIX,
  type MemoryNetwork,
} from '@skylarkfield/protocol';
import {
  createAcceptanceController,
  createConfiguration,
  type ConfigurationClient,
} from '@skylarkfield/records';

/** Simulated entry that has only a platform client and its configuration. */
export interface SpreadEntry {
  readonly id: string;
  readonly store: MemoryObjectStoreClient;
  readonly configuration: ConfigurationClient;
}

export interface SpreadFleet extends Disposable {
  readonly platform: MemoryPlatform;
  readonly net: MemoryNetwork;
  readonly entries: readonly SpreadEntry[];
}

const PLATFORM_DELAY_MS = 4;
const MAX_SMALL_FLEET_ENTRIES = 24;
const SMALL_FLEET_DOMAINS = 4;
const LARGE_FLEET_DOMAINS = 10;

/**
 * Starts a fleet whose first entry accepts records.
 *
 * As with real membership, an entry of a larger fleet is connected only to its
 * heartbeat neighbours.
 *
 * @example
 * const fleet = startSpreadFleet(systemClock(), {entryCount: 100, seed: 1});
 */
export function startSpreadFleet(
  clock: Clock,
  options: {readonly entryCount: number; readonly seed: number},
): SpreadFleet {
  const {entryCount, seed} = options;
  const random = seededRandom(seed);
  const platform = createMemoryPlatform({clock, random});
  platform.faults.setDelay(PLATFORM_DELAY_MS);
  const net = createMemoryNetwork({clock, random, delayMs: 1});
  const domainCount =
    entryCount > MAX_SMALL_FLEET_ENTRIES
      ? LARGE_FLEET_DOMAINS
      : SMALL_FLEET_DOMAINS;
  const members = Array.from({length: entryCount}, (_, index) => ({
    id: `e${index}`,
    failureDomain: `d${index % domainCount}`,
  }));
  const peers = members.map(({id}) => ({
    id,
    incarnation: 1,
    url: `${MEMORY_URL_PREFIX}${id}`,
  }));

  const startedMembers = members.map(self => {
    const {network} = net.start(self.id);
    const store = platform.createClient(self.id, {liveEntries: entryCount});
    return {self, network, store};
  });
  const entries = startedMembers.map(({self, network, store}) => {
    const neighbours = new Set(neighbourIdsOf(self.id, members));
    network.setPeers(peers.filter(peer => neighbours.has(peer.id)));
    network.setAddressBook(peers);
    const configuration = createConfiguration({
      clock,
      random: seededRandom(random.integer(0, 1_000_000_000)),
      store,
      network,
      self,
      members: () => members,
      log: createSilentLogger(),
    });
    return {id: self.id, store, configuration};
  });
  const [firstEntry] = entries;
  const acceptanceController = createAcceptanceController({
    clock,
    random,
    store: (firstEntry as SpreadEntry).store,
    log: createSilentLogger(),
    canAct: () => true,
    onDidAccept: (key, accepted) =>
      (firstEntry as SpreadEntry).configuration.applyAccepted(key, accepted),
    membersLacking: records =>
      (firstEntry as SpreadEntry).configuration.membersLacking(records),
  });

  return {
    platform,
    net,
    entries,
    dispose() {
      acceptanceController.dispose();
      for (const {configuration, store} of entries) {
        configuration.dispose();
        store.dispose();
      }
      startedMembers.forEach(({network}) => network.dispose());
    },
  };
}
