/** Clients of the platform services. */
import {
  createHttpCloud,
  createHttpHostList,
  createHttpObjectStore,
  createHttpWeightStore,
  type Cloud,
  type HostList,
  type ObjectStoreClient,
  type WeightStore,
} from '@skylarkfield/providers';
import type {EntryContext} from '../context.js';

export interface PlatformComponent {
  readonly objectStore: ObjectStoreClient;
  readonly cloud: Cloud;
  readonly hostList: HostList;
  readonly weightStore: WeightStore;
}

/**
 * Creates the clients; no client calls the platform before its first use.
 *
 * @example
 * const platform = createPlatformComponent(context);
 */
export function createPlatformComponent(
  context: EntryContext,
): PlatformComponent {
  const {settings, clock, random, log, dumps} = context;
  const {url, callsPerSecond, timeoutMs} = settings.platform;
  const objectStore = createHttpObjectStore({
    url,
    writer: settings.id,
    clock,
    random,
    log,
    callDeadlineMs: timeoutMs,
    platformCallsPerSecond: callsPerSecond,
  });
  dumps.add('platform', () => objectStore.dump());
  return {
    objectStore,
    cloud: createHttpCloud({url, clock, random}),
    hostList: createHttpHostList({url, clock, random}),
    weightStore: createHttpWeightStore({url, clock}),
  };
}
