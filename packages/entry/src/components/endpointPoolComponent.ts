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
import type {Rests, Router} from '@skylarkfield/routing';
import type {EntryContext} from '../context.js';
import type {ConnectedEndpoint, EndpointPool} from '../servingContext.js';
import {startPolling} from './endpointPolling.js';
import type {LeavingComponent} from './leavingComponent.js';

export interface EndpointPoolComponent extends EndpointPool, Disposable {
  /** Stops new requests to an endpoint and signals its streams to migrate. */
  markLeaving(id: string): void;
}

interface OpenEndpoint extends ConnectedEndpoint, Disposable {
  /**
   * Monotonic milliseconds at which the endpoint is removed; undefined without
   * a notice.
   */
  goneAtMs: number | undefined;
  /** Aborts `leavingSignal`. */
  signalLeaving(): void;
}

/**
 * Watches the host list and maintains one client per endpoint.
 *
 * @example
 * createEndpointPoolComponent(context, leavingComponent, router, rests);
 */
export function createEndpointPoolComponent(
  context: EntryContext,
  {
    hostList,
    leavingTracker: tracker,
  }: Pick<LeavingComponent, 'hostList' | 'leavingTracker'>,
  router: Router,
  rests: Pick<Rests, 'retainEndpoints'>,
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
  disposables.add(startPolling({clock, log, router, endpointPool: pool}));

  return {...pool, markLeaving, dispose: () => disposables.dispose()};

  /**
   * Handles the notice that an endpoint leaves. The notice has the time of the
   * removal and may arrive before the host list marks the endpoint as leaving.
   */
  function handleLeaving({endpoint, goneAt}: LeavingEndpoint): void {
    const existingEndpoint = openEndpoints.get(endpoint);
    if (existingEndpoint !== undefined && goneAt > 0) {
      existingEndpoint.goneAtMs = clock.now() + goneAt - clock.wall();
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
    rests.retainEndpoints(openEndpoints);
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
    const existingEndpoint = openEndpoints.get(listedEndpoint.id);
    if (
      existingEndpoint !== undefined &&
      isSameEndpoint(existingEndpoint.listedEndpoint, listedEndpoint)
    ) {
      return;
    }
    existingEndpoint?.dispose();
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

function openEndpoint(listedEndpoint: ListedEndpoint): OpenEndpoint {
  const leavingController = new AbortController();
  // Every stream at the endpoint adds a listener: more than 10 listeners, of
  // which Node warns by default, are no leak.
  setMaxListeners(0, leavingController.signal);
  const {url} = listedEndpoint;
  const client =
    listedEndpoint.type === 'model'
      ? {engine: createHttpEngine({url})}
      : {plainService: createHttpPlainService({url})};
  const endpoint: OpenEndpoint = {
    ...client,
    listedEndpoint,
    leavingSignal: leavingController.signal,
    goneAtMs: undefined,
    goneAt: () => endpoint.goneAtMs,
    signalLeaving: () => leavingController.abort(),
    dispose: () => (client.engine ?? client.plainService)?.dispose(),
  };
  return endpoint;
}
