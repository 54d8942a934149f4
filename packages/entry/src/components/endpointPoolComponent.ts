/** Pool of the endpoints in the host list, each with its client. */
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
import type {ConnectedEndpoint, EndpointPool} from '../servingContext.js';
import {startPolling} from './endpointPolling.js';
import type {LeavingComponent} from './leavingComponent.js';

export interface EndpointPoolComponent extends EndpointPool, Disposable {
  /** Sends the endpoint no new requests and signals its streams to migrate. */
  markLeaving(id: string): void;
}

interface OpenEndpoint extends ConnectedEndpoint, Disposable {
  /** Monotonic time by which the endpoint is gone, if a notice gave one. */
  goneAtMs: number | undefined;
  leave(): void;
}

/**
 * Watches the host list and maintains one client per endpoint.
 *
 * @example
 * const endpoints = createEndpointPoolComponent(context, leaving, router);
 */
export function createEndpointPoolComponent(
  context: EntryContext,
  {hostList, leaving}: Pick<LeavingComponent, 'hostList' | 'leaving'>,
  router: Router,
): EndpointPoolComponent {
  const {clock, log} = context;
  const openEndpoints = new Map<string, OpenEndpoint>();
  const disposables = disposableStore();
  const pool: EndpointPool = {
    get: id => openEndpoints.get(id),
    list: () => [...openEndpoints.values()],
  };
  disposables.add(
    toDisposable(() => openEndpoints.forEach(endpoint => endpoint.dispose())),
  );
  disposables.add(hostList.watch(applyHostList));
  disposables.add(leaving.onDidLeave(handleLeaving));
  disposables.add(leaving.onDidReturn(handleReturn));
  disposables.add(startPolling({clock, log, router, endpoints: pool}));

  return {...pool, markLeaving, dispose: () => disposables.dispose()};

  /** Applies a notice, which has the removal time and may precede the list. */
  function handleLeaving({endpoint, goneAt}: LeavingEndpoint): void {
    const existing = openEndpoints.get(endpoint);
    if (existing !== undefined && goneAt > 0) {
      existing.goneAtMs = clock.now() + goneAt - clock.wall();
    }
    markLeaving(endpoint);
  }

  /**
   * Discards the client of the old process: its `leaving` signal stays aborted
   * and would end every stream sent to the new process at the same address.
   */
  function handleReturn(id: string): void {
    openEndpoints.get(id)?.dispose();
    openEndpoints.delete(id);
    router.unmarkLeaving(id);
  }

  function markLeaving(id: string): void {
    router.markLeaving(id);
    openEndpoints.get(id)?.leave();
  }

  function applyHostList(listed: readonly ListedEndpoint[]): void {
    closeUnlisted(listed);
    for (const endpoint of listed) {
      ensureOpen(endpoint);
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
    for (const [id, endpoint] of openEndpoints) {
      if (!ids.has(id)) {
        endpoint.dispose();
        openEndpoints.delete(id);
      }
    }
  }

  function ensureOpen(listed: ListedEndpoint): void {
    const existing = openEndpoints.get(listed.id);
    if (existing !== undefined && isSameEndpoint(existing.listed, listed)) {
      return;
    }
    existing?.dispose();
    openEndpoints.set(listed.id, openEndpoint(listed));
  }
}

function isSameEndpoint(a: ListedEndpoint, b: ListedEndpoint): boolean {
  return (
    a.url === b.url &&
    a.type === b.type &&
    a.host === b.host &&
    a.version === b.version
  );
}

function openEndpoint(listed: ListedEndpoint): OpenEndpoint {
  const leaving = new AbortController();
  // Every stream at the endpoint adds a listener; more than 10, of which Node
  // warns, are no leak.
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
