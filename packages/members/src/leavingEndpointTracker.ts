/**
 * Tracking of leaving endpoints from reclaim notices, the host list and peers,
 * whichever reports first. The list lags, so a leaving endpoint is tracked per
 * host: an outdated list cannot readmit it, while the same endpoint on another
 * host, or one that verifiably returned, counts as new.
 */
import {
  disposableStore,
  emitter,
  every,
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
import {
  createDeparture,
  updateDeparture,
  hasReturned,
} from './endpointDeparture.js';
import {
  createLeavingHost,
  isRepeatedNotice,
  extendDeadline,
  type LeavingHost,
  type LeavingSource,
} from './leavingHost.js';

export type {LeavingSource} from './leavingHost.js';

export interface LeavingEndpoint {
  readonly endpoint: string;
  readonly host: string;
  /** Wall-clock milliseconds by which the host is gone; 0 when not known. */
  readonly goneAt: number;
  readonly source: LeavingSource;
}

export interface LeavingEndpointTracker extends Disposable {
  /**
   * Whether the endpoint must receive no new work. The host distinguishes two
   * processes of one id; by default it is the listed one.
   */
  isLeaving(endpoint: string, host?: string): boolean;
  /** Fires once per endpoint and host, regardless of the number of reports. */
  onDidLeave(listener: (leaving: LeavingEndpoint) => void): Disposable;
  /** Fires when a leaving endpoint returns on any host, or has not left. */
  onDidReturn(listener: (endpoint: string) => void): Disposable;
  /** Records a report of another source, such as the endpoint itself. */
  reportLeaving(
    host: string,
    endpoints: readonly string[],
    goneAt: number,
    source: LeavingSource,
  ): void;
  /** Host list with all leaving endpoints marked, even if listed as live. */
  readonly hostList: HostList;
  /** Sets whether this entry watches reclaim notices or relies on its peers. */
  setReader(isReader: boolean): void;
  dump(): unknown;
}

/** Maximum tracked hosts; exceeds a failure domain of the largest fleet. */
const MAX_HOSTS = 4_000;
/** Maximum tracked endpoints of each host. */
const MAX_ENDPOINTS_PER_HOST = 256;
const EXPIRY_INTERVAL_MS = 30_000;
/** Maximum age of reports that are resent to a newly connected peer. */
const RESEND_WINDOW_MS = 120_000;

/**
 * Creates a tracker that follows notices, list and peers until disposed.
 *
 * @example
 * const tracker = createLeavingEndpointTracker({cloud, hostList, network, ...rest});
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
  const hosts = new Map<string, LeavingHost>();
  const didLeave = emitter<LeavingEndpoint>();
  const didReturn = emitter<string>();
  const disposables = disposableStore();
  /** Items of the last host list by endpoint id. */
  let listedById = new Map<string, ListedEndpoint>();
  let latestList: readonly ListedEndpoint[] | undefined;
  const didCorrectList = emitter<readonly ListedEndpoint[]>();
  let isCorrectionDue = false;
  let noticeSubscription: Disposable | undefined;

  function isLeaving(
    endpoint: string,
    host = listedById.get(endpoint)?.host,
  ): boolean {
    if (host !== undefined) {
      const leavingHost = hosts.get(host);
      return (
        leavingHost !== undefined &&
        (leavingHost.endpoints.has(endpoint) ||
          (leavingHost.isWhole && !leavingHost.back.has(endpoint)))
      );
    }
    return [...hosts.values()].some(leavingHost =>
      leavingHost.endpoints.has(endpoint),
    );
  }

  function getOrAddHost(
    host: string,
    goneAt: number,
    source: LeavingSource,
  ): LeavingHost {
    const leavingHost = hosts.get(host);
    if (leavingHost !== undefined) {
      extendDeadline(leavingHost, goneAt, clock);
      return leavingHost;
    }
    const added = createLeavingHost(host, source, clock);
    extendDeadline(added, goneAt, clock);
    hosts.set(host, added);
    if (hosts.size > MAX_HOSTS) {
      const [oldest] = hosts.keys();
      hosts.delete(oldest!);
    }
    return added;
  }

  function listedOn(host: string, endpoint: string) {
    const item = listedById.get(endpoint);
    return item?.host === host ? item : undefined;
  }

  /** Adds new endpoints and fires `onDidLeave`; returns whether any changed. */
  function recordLeaving(
    host: string,
    endpoints: readonly string[],
    isWhole: boolean,
    goneAt: number,
    source: LeavingSource,
  ): boolean {
    const candidates = endpoints.filter(
      endpoint => !isRepeatedNotice(hosts.get(host), goneAt, endpoint),
    );
    const leavingHost = getOrAddHost(host, goneAt, source);
    const added = candidates
      .filter(endpoint => !leavingHost.endpoints.has(endpoint))
      .slice(0, MAX_ENDPOINTS_PER_HOST - leavingHost.endpoints.size);
    const hasChanges = added.length > 0 || (isWhole && !leavingHost.isWhole);
    leavingHost.isWhole ||= isWhole;
    for (const endpoint of added) {
      leavingHost.endpoints.set(
        endpoint,
        createDeparture(listedOn(host, endpoint)),
      );
      leavingHost.back.delete(endpoint);
      decisions.note('members', endpoint, 'give no new work', 'leaving', {
        host,
        source,
        goneAt,
      });
      didLeave.fire({endpoint, host, goneAt, source});
    }
    if (hasChanges && source !== 'list') {
      scheduleCorrectedList();
    }
    return hasChanges;
  }

  function toMessage(leavingHost: LeavingHost): Messages['endpointLeaving'] {
    const {host, goneAt, isWhole} = leavingHost;
    return {
      endpoints: [...leavingHost.endpoints.keys()],
      host,
      goneAt,
      isWhole,
    };
  }

  /** Forwards a new report; as every entry does so, it reaches all entries. */
  function broadcastHost(host: string, except?: string) {
    const leavingHost = hosts.get(host);
    if (leavingHost === undefined) {
      return;
    }
    const receivers = network.connectedPeers().filter(peer => peer !== except);
    network.broadcast('endpointLeaving', toMessage(leavingHost), receivers);
  }

  function endpointsOn(host: string): string[] {
    return [...listedById.values()]
      .filter(item => item.host === host)
      .map(({id}) => id);
  }

  function markLeaving(list: readonly ListedEndpoint[]): ListedEndpoint[] {
    return list.map(item =>
      isLeaving(item.id, item.host) ? {...item, state: 'leaving'} : item,
    );
  }

  function fireCorrectedList() {
    isCorrectionDue = false;
    if (latestList !== undefined && !disposables.isDisposed) {
      didCorrectList.fire(markLeaving(latestList));
    }
  }

  /** Coalesces all changes of one message or notice into one list. */
  function scheduleCorrectedList() {
    if (isCorrectionDue) {
      return;
    }
    isCorrectionDue = true;
    clock.after(0, fireCorrectedList);
  }

  function handleNotice({host, goneAt}: ReclaimNotice) {
    if (recordLeaving(host, endpointsOn(host), true, goneAt, 'notice')) {
      broadcastHost(host);
    }
  }

  function handlePeerMessage(from: string, body: Messages['endpointLeaving']) {
    const {host, goneAt, endpoints, isWhole = false} = body;
    const all = isWhole ? [...endpoints, ...endpointsOn(host)] : endpoints;
    if (recordLeaving(host, [...new Set(all)], isWhole, goneAt, 'peer')) {
      broadcastHost(host, from);
    }
  }

  function handleHostList(endpoints: readonly ListedEndpoint[]) {
    const previous = listedById;
    listedById = new Map(endpoints.map(item => [item.id, item]));
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
    changedHosts.forEach(host => broadcastHost(host));
    fireMovedEndpoints(previous);
    latestList = endpoints;
    fireCorrectedList();
  }

  /** Updates all departures from the list and readmits returned endpoints. */
  function updateDepartures() {
    for (const leavingHost of hosts.values()) {
      for (const [endpoint, departure] of leavingHost.endpoints) {
        const item = listedOn(leavingHost.host, endpoint);
        if (
          item !== undefined &&
          hasReturned(departure, leavingHost, item, clock.now())
        ) {
          leavingHost.endpoints.delete(endpoint);
          leavingHost.back.add(endpoint);
          readmit(endpoint, leavingHost.host, 'listed again after it left');
        } else {
          updateDeparture(departure, item, listedById.has(endpoint));
        }
      }
    }
  }

  function readmit(endpoint: string, host: string, reason: string) {
    decisions.note('members', endpoint, 'give work again', reason, {host});
    didReturn.fire(endpoint);
  }

  function fireMovedEndpoints(previous: ReadonlyMap<string, ListedEndpoint>) {
    for (const [endpoint, {host}] of listedById) {
      const hasMoved = previous.get(endpoint)?.host !== host;
      const wasLeaving = [...hosts.values()].some(
        leavingHost =>
          leavingHost.host !== host && leavingHost.endpoints.has(endpoint),
      );
      if (hasMoved && wasLeaving && !isLeaving(endpoint, host)) {
        didReturn.fire(endpoint);
      }
    }
  }

  /** Drops hosts after `forgetAt`; those still listed were not reclaimed. */
  function expireHosts() {
    const now = clock.now();
    for (const leavingHost of [...hosts.values()]) {
      if (now < leavingHost.forgetAt) {
        continue;
      }
      hosts.delete(leavingHost.host);
      for (const endpoint of leavingHost.endpoints.keys()) {
        if (listedOn(leavingHost.host, endpoint) !== undefined) {
          readmit(endpoint, leavingHost.host, 'still listed');
          scheduleCorrectedList();
        }
      }
    }
  }

  /** Resends recent reports to a peer that may have missed the broadcast. */
  function resendRecent(peer: string) {
    const now = clock.now();
    for (const leavingHost of hosts.values()) {
      if (now - leavingHost.since <= RESEND_WINDOW_MS) {
        network.send(peer, 'endpointLeaving', toMessage(leavingHost));
      }
    }
  }

  function setReader(isReader: boolean) {
    if (isReader === (noticeSubscription !== undefined)) {
      return;
    }
    noticeSubscription?.dispose();
    noticeSubscription = isReader
      ? cloud.watchNotices(handleNotice)
      : undefined;
  }

  disposables.add(network.onDidReceive('endpointLeaving', handlePeerMessage));
  disposables.add(
    network.onDidChangePeer((peer, isOpen) => {
      if (isOpen) {
        resendRecent(peer);
      }
    }),
  );
  disposables.add(options.hostList.watch(handleHostList));
  disposables.add(every(clock, EXPIRY_INTERVAL_MS, expireHosts));
  setReader(true);

  return {
    isLeaving,
    onDidLeave: didLeave.event,
    onDidReturn: didReturn.event,
    hostList: {
      watch(listener) {
        if (latestList !== undefined) {
          listener(markLeaving(latestList));
        }
        return didCorrectList.event(listener);
      },
    },
    reportLeaving(host, endpoints, goneAt, source) {
      if (recordLeaving(host, endpoints, false, goneAt, source)) {
        broadcastHost(host);
      }
    },
    setReader,
    dump: () => ({
      isReader: noticeSubscription !== undefined,
      hosts: [...hosts.values()].map(leavingHost => ({
        ...leavingHost,
        endpoints: [...leavingHost.endpoints.keys()],
        back: [...leavingHost.back],
        ageMs: Math.round(clock.now() - leavingHost.since),
      })),
    }),
    dispose() {
      setReader(false);
      disposables.dispose();
    },
  };
}
