/** The endpoints of the host list, each with the client that speaks to it. */
import {
  disposableStore,
  every,
  toDisposable,
  type Disposable,
} from '@skylarkfield/base';
import {
  createHttpEngine,
  createHttpPlainService,
} from '@skylarkfield/endpoints';
import type {HostList, ListedEndpoint} from '@skylarkfield/platform';
import type {Router} from '@skylarkfield/routing';
import type {EntryContext} from '../context.js';
import type {ConnectedEndpoint, EndpointPool} from '../serving.js';

/** How often each endpoint is asked for its load, in milliseconds. */
const LOAD_INTERVAL_MS = 1_000;

export interface EnginesPart extends EndpointPool, Disposable {
  /** The endpoint gets no new work, and its streams are told. */
  markLeaving(id: string): void;
}

interface OpenEndpoint extends ConnectedEndpoint, Disposable {
  leave(): void;
}

/**
 * Follows the host list and keeps one client per endpoint.
 *
 * @example
 * const engines = createEnginesPart(context, platform.hostList, router);
 */
export function createEnginesPart(
  context: EntryContext,
  hostList: HostList,
  router: Router,
): EnginesPart {
  const {clock, log} = context;
  const open = new Map<string, OpenEndpoint>();
  const store = disposableStore();
  store.add(hostList.watch(adopt));
  store.add(every(clock, LOAD_INTERVAL_MS, pollLoads));
  store.add(toDisposable(() => open.forEach(endpoint => endpoint.dispose())));

  return {
    get: id => open.get(id),
    list: () => [...open.values()],
    markLeaving,
    dispose: () => store.dispose(),
  };

  function markLeaving(id: string): void {
    router.markLeaving(id);
    open.get(id)?.leave();
  }

  function adopt(listed: readonly ListedEndpoint[]): void {
    closeUnlisted(listed);
    for (const endpoint of listed) {
      openOrKeep(endpoint);
    }
    router.setEndpoints(listed);
    for (const endpoint of listed) {
      if (endpoint.state === 'leaving') {
        markLeaving(endpoint.id);
      }
    }
  }

  function closeUnlisted(listed: readonly ListedEndpoint[]): void {
    const ids = new Set(listed.map(endpoint => endpoint.id));
    for (const [id, endpoint] of open) {
      if (!ids.has(id)) {
        endpoint.dispose();
        open.delete(id);
      }
    }
  }

  function openOrKeep(listed: ListedEndpoint): void {
    const present = open.get(listed.id);
    if (present !== undefined && isSame(present.listed, listed)) {
      return;
    }
    present?.dispose();
    open.set(listed.id, openEndpoint(listed));
  }

  function pollLoads(): void {
    for (const endpoint of open.values()) {
      void pollLoad(endpoint);
    }
  }

  async function pollLoad(endpoint: ConnectedEndpoint): Promise<void> {
    const client = endpoint.engine ?? endpoint.plain;
    try {
      const report = await client?.load();
      if (report !== undefined) {
        router.reportLoad(endpoint.listed.id, report);
      }
    } catch (error) {
      log.debug(
        {endpoint: endpoint.listed.id, error: String(error)},
        'no load',
      );
    }
  }
}

function isSame(a: ListedEndpoint, b: ListedEndpoint): boolean {
  return (
    a.url === b.url &&
    a.type === b.type &&
    a.host === b.host &&
    a.version === b.version
  );
}

function openEndpoint(listed: ListedEndpoint): OpenEndpoint {
  const leaving = new AbortController();
  const shared = {
    listed,
    leaving: leaving.signal,
    leave: () => leaving.abort(),
  };
  const {url} = listed;
  if (listed.type === 'model') {
    const engine = createHttpEngine({url});
    return {...shared, engine, dispose: () => engine.dispose()};
  }
  const plain = createHttpPlainService({url});
  return {...shared, plain, dispose: () => plain.dispose()};
}
