/** The clients through which this entry reaches the platform. */
import {
  createHttpCloud,
  createHttpHostList,
  createHttpObjectStore,
  createHttpWeightStore,
  type Cloud,
  type HostList,
  type ObjectClient,
  type WeightStore,
} from '@skylarkfield/providers';
import type {EntryContext} from '../context.js';

export interface PlatformPart {
  readonly store: ObjectClient;
  readonly cloud: Cloud;
  readonly hostList: HostList;
  readonly weights: WeightStore;
}

/**
 * Makes the clients; nothing is called before it is used.
 *
 * @example
 * const platform = createPlatformPart(context);
 */
export function createPlatformPart(context: EntryContext): PlatformPart {
  const {settings, clock, random, dumps} = context;
  const {url, callsPerSecond, timeoutMs} = settings.platform;
  const store = createHttpObjectStore({
    url,
    writer: settings.id,
    clock,
    random,
    callDeadlineMs: timeoutMs,
    platformCallsPerSecond: callsPerSecond,
  });
  dumps.add('platform', () => store.dump());
  return {
    store,
    cloud: createHttpCloud({url, clock, random}),
    hostList: createHttpHostList({url, clock, random}),
    weights: createHttpWeightStore({url, clock}),
  };
}
