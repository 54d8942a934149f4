/**
 * Tracks leaving endpoints reported by reclaim notices, the host list or peers,
 * whichever reports first. The host list lags, so a leaving endpoint is tracked
 * per host: an outdated list cannot readmit the endpoint, but an endpoint with
 * the same id on another host, or an endpoint that verifiably returned,
 * receives work again.
 */
import {
  createDisposableStore,
  createEmitter,
  scheduleRepeatedly,
  type Clock,
  type DecisionLog,
  type Disposable,
} from '@skylarkfield/base';
import type {
  Cloud,
  HostList,
  ListedEndpoint,
  ReclaimNotice,
} from '@skylarkfield/providers';
import type {Messages, PeerNetwork} from '@skylarkfield/protocol';
import {createCorrectedHostList} from './correctedHostList.js';
import {
  createDeparture,
  updateDeparture,
  hasReturned,
} from './endpointDeparture.js';
import {isRepeatedNotice, type LeavingSource} from './leavingHost.js';
import {createLeavingHostBroadcast} from './leavingHostBroadcast.js';
import {createLeavingHostTable} from './leavingHostTable.js';

export type {LeavingSource} from './leavingHost.js';

export interface LeavingEndpoint {
  readonly endpoint: string;
  readonly host: string;
  /**
   * Wall-clock milliseconds by which the host is gone; 0 if the report
   * contained no deadline.
   */
  readonly goneAt: number;
  readonly source: LeavingSource;
}

export interface LeavingEndpointTracker extends Disposable {
  /**
   * Returns whether the endpoint must receive no new work. `host` distinguishes
   * two processes with one endpoint id and defaults to the listed host.
   */
  isLeaving(endpoint: string, host?: string): boolean;
  /** Fires once per endpoint and host, regardless of the number of reports. */
  onDidLeave(listener: (leaving: LeavingEndpoint) => void): Disposable;
  /**
   * Fires when a leaving endpoint returns on any host, or turns out not to have
   * left its host.
   */
  onDidReturn(listener: (endpoint: string) => void): Disposable;
  /**
   * Records a report from another source, such as the endpoint itself. `goneAt`
   * is in wall-clock milliseconds; 0 means that no deadline is known.
   */
  reportLeaving(
    host: string,
    endpoints: readonly string[],
    goneAt: number,
    source: LeavingSource,
  ): void;
  /**
   * Host list in which all leaving endpoints have the state `leaving`, even if
   * the cloud lists them as live.
   */
  readonly hostList: HostList;
  /** Sets whether this entry watches reclaim notices or relies on its peers. */
  setIsNoticeReader(isReader: boolean): void;
  dump(): unknown;
}

/** Maximum number of tracked endpoints of each host. */
const MAX_ENDPOINTS_PER_HOST = 256;
const EXPIRY_INTERVAL_MS = 30_000;

/**
 * Creates a tracker that processes reclaim notices, host lists and peer
 * messages until disposed.
 *
 * @example
 * const tracker = createLeavingEndpointTracker({cloud, hostList, ...rest});
 * tracker.onDidLeave(({endpoint}) => router.remove(endpoint));
 */
export function createLeavingEndpointTracker(options: {
  readonly cloud: Pick<Cloud, 'watchNotices'>;
  readonly hostList: HostList;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly decisions: DecisionLog;
}): LeavingEndpointTracker {
  const {cloud, network, clock, decisions} = options;
  const leavingHosts = createLeavingHostTable(clock);
  const didLeave = createEmitter<LeavingEndpoint>();
  const didReturn = createEmitter<string>();
  const disposables = createDisposableStore();
  /** Endpoints of the latest host list, by id. */
  let listedEndpointsById = new Map<string, ListedEndpoint>();
  let noticeSubscription: Disposable | undefined;
  const correctedList = disposables.add(
    createCorrectedHostList(clock, leavingHosts.isLeaving),
  );
  const broadcast = disposables.add(
    createLeavingHostBroadcast({network, clock, leavingHosts}),
  );

  function isLeaving(
    endpoint: string,
    host = listedEndpointsById.get(endpoint)?.host,
  ): boolean {
    return leavingHosts.isLeaving(endpoint, host);
  }

  function findListedEndpoint(host: string, endpoint: string) {
    const listedEndpoint = listedEndpointsById.get(endpoint);
    return listedEndpoint?.host === host ? listedEndpoint : undefined;
  }

  /**
   * Records that endpoints leave a host and fires `onDidLeave` for each newly
   * leaving endpoint; returns whether the state of the host has changed.
   */
  function recordLeaving(
    host: string,
    endpoints: readonly string[],
    isWhole: boolean,
    goneAt: number,
    source: LeavingSource,
  ): boolean {
    const candidates = endpoints.filter(
      endpoint => !isRepeatedNotice(leavingHosts.get(host), goneAt, endpoint),
    );
    const leavingHost = leavingHosts.getOrAdd(host, goneAt, source);
    const addedEndpoints = candidates
      .filter(endpoint => !leavingHost.endpoints.has(endpoint))
      .slice(0, MAX_ENDPOINTS_PER_HOST - leavingHost.endpoints.size);
    const hasChanges =
      addedEndpoints.length > 0 || (isWhole && !leavingHost.isWhole);
    leavingHost.isWhole ||= isWhole;
    for (const endpoint of addedEndpoints) {
      leavingHost.endpoints.set(
        endpoint,
        createDeparture(findListedEndpoint(host, endpoint)),
      );
      leavingHost.back.delete(endpoint);
      decisions.recordDecision(
        'members',
        endpoint,
        'give no new work',
        'leaving',
        {
          host,
          source,
          goneAt,
        },
      );
      didLeave.fire({endpoint, host, goneAt, source});
    }
    if (hasChanges && source !== 'list') {
      correctedList.scheduleUpdate();
    }
    return hasChanges;
  }

  function listedEndpointIdsOn(host: string): string[] {
    return [...listedEndpointsById.values()]
      .filter(listedEndpoint => listedEndpoint.host === host)
      .map(({id}) => id);
  }

  function handleNotice({host, goneAt}: ReclaimNotice) {
    if (
      recordLeaving(host, listedEndpointIdsOn(host), true, goneAt, 'notice')
    ) {
      broadcast.send(host);
    }
  }

  function handlePeerMessage(from: string, body: Messages['endpointLeaving']) {
    const {host, goneAt, endpoints, isWhole = false} = body;
    const leavingEndpoints = isWhole
      ? [...endpoints, ...listedEndpointIdsOn(host)]
      : endpoints;
    if (
      recordLeaving(
        host,
        [...new Set(leavingEndpoints)],
        isWhole,
        goneAt,
        'peer',
      )
    ) {
      broadcast.send(host, from);
    }
  }

  function handleHostList(endpoints: readonly ListedEndpoint[]) {
    const previousEndpointsById = listedEndpointsById;
    listedEndpointsById = new Map(
      endpoints.map(listedEndpoint => [listedEndpoint.id, listedEndpoint]),
    );
    updateDepartures();
    const changedHosts = new Set<string>();
    for (const {id, host, state} of endpoints) {
      if (
        (state === 'leaving' || isLeaving(id, host)) &&
        recordLeaving(host, [id], false, 0, 'list')
      ) {
        changedHosts.add(host);
      }
    }
    changedHosts.forEach(host => broadcast.send(host));
    fireReturnsOnOtherHosts(previousEndpointsById);
    correctedList.setList(endpoints);
  }

  /**
   * Updates all departures from the latest host list and readmits returned
   * endpoints.
   */
  function updateDepartures() {
    for (const leavingHost of leavingHosts.hosts()) {
      for (const [endpoint, departure] of leavingHost.endpoints) {
        const listedEndpoint = findListedEndpoint(leavingHost.host, endpoint);
        if (
          listedEndpoint !== undefined &&
          hasReturned(departure, leavingHost, listedEndpoint, clock.now())
        ) {
          leavingHost.endpoints.delete(endpoint);
          leavingHost.back.add(endpoint);
          readmit(endpoint, leavingHost.host, 'listed again after it left');
        } else {
          updateDeparture(
            departure,
            listedEndpoint,
            listedEndpointsById.has(endpoint),
          );
        }
      }
    }
  }

  function readmit(endpoint: string, host: string, reason: string) {
    decisions.recordDecision('members', endpoint, 'give work again', reason, {
      host,
    });
    didReturn.fire(endpoint);
  }

  function fireReturnsOnOtherHosts(
    previousEndpointsById: ReadonlyMap<string, ListedEndpoint>,
  ) {
    for (const [endpoint, {host}] of listedEndpointsById) {
      const hasMoved = previousEndpointsById.get(endpoint)?.host !== host;
      if (
        hasMoved &&
        leavingHosts.isLeavingAnotherHost(endpoint, host) &&
        !isLeaving(endpoint, host)
      ) {
        didReturn.fire(endpoint);
      }
    }
  }

  /**
   * Drops hosts after `forgetAt`. Endpoints that are still listed on a dropped
   * host are readmitted, since the host was not reclaimed.
   */
  function expireHosts() {
    const now = clock.now();
    for (const leavingHost of [...leavingHosts.hosts()]) {
      if (now < leavingHost.forgetAt) {
        continue;
      }
      leavingHosts.remove(leavingHost.host);
      for (const endpoint of leavingHost.endpoints.keys()) {
        if (findListedEndpoint(leavingHost.host, endpoint) !== undefined) {
          readmit(endpoint, leavingHost.host, 'still listed');
          correctedList.scheduleUpdate();
        }
      }
    }
  }

  function setIsNoticeReader(isReader: boolean) {
    if (isReader === (noticeSubscription !== undefined)) {
      return;
    }
    noticeSubscription?.dispose();
    noticeSubscription = isReader
      ? cloud.watchNotices(handleNotice)
      : undefined;
  }

  disposables.add(network.addHandler('endpointLeaving', handlePeerMessage));
  disposables.add(options.hostList.watch(handleHostList));
  disposables.add(scheduleRepeatedly(clock, EXPIRY_INTERVAL_MS, expireHosts));
  setIsNoticeReader(true);

  return {
    isLeaving,
    onDidLeave: didLeave.event,
    onDidReturn: didReturn.event,
    hostList: correctedList,
    reportLeaving(host, endpoints, goneAt, source) {
      if (recordLeaving(host, endpoints, false, goneAt, source)) {
        broadcast.send(host);
      }
    },
    setIsNoticeReader,
    dump: () => ({
      isReader: noticeSubscription !== undefined,
      hosts: [...leavingHosts.hosts()].map(leavingHost => ({
        ...leavingHost,
        endpoints: [...leavingHost.endpoints.keys()],
        back: [...leavingHost.back],
        ageMs: Math.round(clock.now() - leavingHost.since),
      })),
    }),
    dispose() {
      setIsNoticeReader(false);
      disposables.dispose();
    },
  };
}
