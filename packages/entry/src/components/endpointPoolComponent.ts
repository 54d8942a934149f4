/** Pool of the endpoints in the host list, each with its client. */
import {setMaxListeners} from 'node:events';
import {
  createDisposableStore,
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
  /** Stops new requests to an endpoint and signals its streams to migrate. */
  markLeaving(id: string): void;
}

interface OpenEndpoint extends ConnectedEndpoint, Disposable {
  /** Monotonic milliseconds of the removal; undefined without a notice. */
  goneAtMs: number | undefined;
  /** Aborts `leavingSignal`. */
  signalLeaving(): void;
}

/**
 * Watches the host list and maintains one client per endpoint.
 *
 * @example
 * createEndpointPoolComponent(context, leavingComponent, router);
 */
export function createEndpointPoolComponent(
  context: EntryContext,
  {hostList, tracker}: Pick<LeavingComponent, 'hostList' | 'tracker'>,
  router: Router,
): EndpointPoolComponent {
  const {clock, log} = context;
  const openEndpoints = new Map<string, OpenEndpoint>();
  const disposables = createDisposableStore();
  const pool: EndpointPool = {
    get: id => openEndpoints.get(id),
    list: () => [...openEndpoints.values()],
  };
  disposables.add(
    toDisposable(() => openEndpoints.forEach(endpoint => endpoint.dispose())),
  );
  disposables.add(hostList.watch(applyHostList));
  disposables.add(tracker.onDidLeave(handleLeaving));
  disposables.add(tracker.onDidReturn(handleReturn));
  disposables.add(startPolling({clock, log, router, endpoints: pool}));

  return {...pool, markLeaving, dispose: () => disposables.dispose()};

  /**
   * Applies a notice, which has the time of the removal and may arrive before
   * the host list marks the endpoint.
   */
  function handleLeaving({endpoint, goneAt}: LeavingEndpoint): void {
    const existing = openEndpoints.get(endpoint);
    if (existing !== undefined && goneAt > 0) {
      existing.goneAtMs = clock.now() + goneAt - clock.wall();
    }
    markLeaving(endpoint);
  }

  /**
   * Discards the client of the old process when an endpoint has restarted. The
   * client's aborted `leavingSignal` would end every stream sent to the new
   * process at the same address.
   */
  function handleReturn(id: string): void {
    openEndpoints.get(id)?.dispose();
    openEndpoints.delete(id);
    router.unmarkLeaving(id);
  }

  function markLeaving(id: string): void {
    router.markLeaving(id);
    openEndpoints.get(id)?.signalLeaving();
  }

  function applyHostList(listedEndpoints: readonly ListedEndpoint[]): void {
    closeUnlistedEndpoints(listedEndpoints);
    for (const endpoint of listedEndpoints) {
      ensureEndpointOpen(endpoint);
    }
    router.setEndpoints(listedEndpoints);
    for (const endpoint of listedEndpoints) {
      if (endpoint.state === 'leaving') {
        markLeaving(endpoint.id);
      }
    }
  }

  function closeUnlistedEndpoints(
    listedEndpoints: readonly ListedEndpoint[],
  ): void {
    const listedIds = new Set(listedEndpoints.map(endpoint => endpoint.id));
    for (const [id, endpoint] of openEndpoints) {
      if (!listedIds.has(id)) {
        endpoint.dispose();
        openEndpoints.delete(id);
      }
    }
  }

  function ensureEndpointOpen(listedEndpoint: ListedEndpoint): void {
    const existing = openEndpoints.get(listedEndpoint.id);
    if (
      existing !== undefined &&
      isSameEndpoint(existing.listed, listedEndpoint)
    ) {
      return;
    }
    existing?.dispose();
    openEndpoints.set(listedEndpoint.id, openEndpoint(listedEndpoint));
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
  const leavingController = new AbortController();
  // Every stream at the endpoint adds a listener: more than 10 listeners, of
  // which Node warns by default, are no leak.
  setMaxListeners(0, leavingController.signal);
  const {url} = listed;
  const client =
    listed.type === 'model'
      ? {engine: createHttpEngine({url})}
      : {plain: createHttpPlainService({url})};
  const endpoint: OpenEndpoint = {
    ...client,
    listed,
    leavingSignal: leavingController.signal,
    goneAtMs: undefined,
    goneAt: () => endpoint.goneAtMs,
    signalLeaving: () => leavingController.abort(),
    dispose: () => (client.engine ?? client.plain)?.dispose(),
  };
  return endpoint;
}
