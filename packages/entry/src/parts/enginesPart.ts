/** The endpoints of the host list, each with the client that speaks to it. */
import {setMaxListeners} from 'node:events';
import {
  disposableStore,
  toDisposable,
  type Disposable,
} from '@skylarkfield/base';
import {
  createHttpEngine,
  createHttpPlainService,
} from '@skylarkfield/endpoints';
import type {LeavingEndpoint} from '@skylarkfield/members';
import type {ListedEndpoint} from '@skylarkfield/providers';
import type {Router} from '@skylarkfield/routing';
import type {EntryContext} from '../context.js';
import type {ConnectedEndpoint, EndpointPool} from '../serving.js';
import {startPolling} from './endpointPolling.js';
import type {LeavingPart} from './leavingPart.js';

export interface EnginesPart extends EndpointPool, Disposable {
  /** The endpoint gets no new work, and its streams are told. */
  markLeaving(id: string): void;
}

interface OpenEndpoint extends ConnectedEndpoint, Disposable {
  /** Monotonic milliseconds by which it is gone, when a notice said so. */
  goneAtMs: number | undefined;
  leave(): void;
}

/**
 * Follows the host list and keeps one client per endpoint.
 *
 * @example
 * const engines = createEnginesPart(context, leavingPart, router);
 */
export function createEnginesPart(
  context: EntryContext,
  {hostList, leaving}: Pick<LeavingPart, 'hostList' | 'leaving'>,
  router: Router,
): EnginesPart {
  const {clock, log} = context;
  const open = new Map<string, OpenEndpoint>();
  const store = disposableStore();
  const pool: EndpointPool = {
    get: id => open.get(id),
    list: () => [...open.values()],
  };
  store.add(toDisposable(() => open.forEach(endpoint => endpoint.dispose())));
  store.add(hostList.watch(adopt));
  store.add(leaving.onDidLeave(noteLeaving));
  store.add(leaving.onDidReturn(reopen));
  store.add(startPolling({clock, log, router, endpoints: pool}));

  return {...pool, markLeaving, dispose: () => store.dispose()};

  /** A notice says when the host is gone, and may come before the list says anything. */
  function noteLeaving({endpoint, goneAt}: LeavingEndpoint): void {
    const present = open.get(endpoint);
    if (present !== undefined && goneAt > 0) {
      present.goneAtMs = clock.now() + goneAt - clock.wall();
    }
    markLeaving(endpoint);
  }

  /**
   * The client of the old process was told that it leaves, for good. Kept for
   * the new one at the same address, it would end every stream sent there.
   */
  function reopen(id: string): void {
    open.get(id)?.dispose();
    open.delete(id);
    router.markReturned(id);
  }

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
  // Every stream at the endpoint listens; more than ten are no leak.
  setMaxListeners(0, leaving.signal);
  const {url} = listed;
  const client =
    listed.type === 'model'
      ? {engine: createHttpEngine({url})}
      : {plain: createHttpPlainService({url})};
  const endpoint: OpenEndpoint = {
    ...client,
    listed,
    leaving: leaving.signal,
    goneAtMs: undefined,
    goneAt: () => endpoint.goneAtMs,
    leave: () => leaving.abort(),
    dispose: () => (client.engine ?? client.plain)?.dispose(),
  };
  return endpoint;
}
