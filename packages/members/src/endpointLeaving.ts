/**
 * Which endpoints leave, by whichever word comes first: the cloud's notice, the
 * host list, or a peer. The list lags, so an endpoint that leaves is remembered
 * together with its host: an old list can't bring it back, while the same
 * endpoint on a new host is a new one, and so is one that plainly returned.
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
import {beginDeparture, followDeparture, isBack} from './endpointDeparture.js';
import {
  beginLeavingHost,
  isRepeat,
  postpone,
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

export interface EndpointLeaving extends Disposable {
  /** Whether the endpoint must get no new work; a host says which of two with one id is meant. */
  isLeaving(endpoint: string, host?: string): boolean;
  /** Fires once for each endpoint and host, whatever the number of words. */
  onDidLeave(listener: (leaving: LeavingEndpoint) => void): Disposable;
  /** Fires when an endpoint that was leaving is back, on its host or another, or stayed. */
  onDidReturn(listener: (endpoint: string) => void): Disposable;
  /** Takes in a word from elsewhere, like an endpoint that says so itself. */
  note(
    host: string,
    endpoints: readonly string[],
    goneAt: number,
    source: LeavingSource,
  ): void;
  /** The host list with every leaving endpoint marked so, also those it still shows as live. */
  readonly hostList: HostList;
  /** Whether this process watches the cloud's notices itself; others hear from peers. */
  setReader(isReader: boolean): void;
  dump(): unknown;
}

/** A failure domain of the largest fleet has fewer hosts than this. */
const MOST_HOSTS = 4_000;
/** Endpoints remembered for one host. */
const MOST_ENDPOINTS_PER_HOST = 256;
const FORGET_INTERVAL_MS = 30_000;
/** Words younger than this are told to a peer that has just connected. */
const REPEAT_MS = 120_000;

/**
 * Follows all three sources until disposed.
 *
 * @example
 * const leaving = createEndpointLeaving({cloud, hostList, network, clock, decisions});
 * leaving.onDidLeave(({endpoint}) => router.remove(endpoint));
 */
export function createEndpointLeaving(options: {
  readonly cloud: Pick<Cloud, 'watchNotices'>;
  readonly hostList: HostList;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly decisions: DecisionLog;
}): EndpointLeaving {
  const {cloud, network, clock, decisions} = options;
  const hosts = new Map<string, LeavingHost>();
  const left = emitter<LeavingEndpoint>();
  const returned = emitter<string>();
  const owned = disposableStore();
  /** Hosts on which the last list showed an endpoint. */
  let listed = new Map<string, ListedEndpoint>();
  let latest: readonly ListedEndpoint[] | undefined;
  const corrected = emitter<readonly ListedEndpoint[]>();
  let isCorrectionDue = false;
  let notices: Disposable | undefined;

  function isLeaving(
    endpoint: string,
    host = listed.get(endpoint)?.host,
  ): boolean {
    if (host !== undefined) {
      const known = hosts.get(host);
      return (
        known !== undefined &&
        (known.endpoints.has(endpoint) ||
          (known.isWhole && !known.back.has(endpoint)))
      );
    }
    return [...hosts.values()].some(known => known.endpoints.has(endpoint));
  }

  function remember(
    host: string,
    goneAt: number,
    source: LeavingSource,
  ): LeavingHost {
    const known = hosts.get(host);
    if (known !== undefined) {
      postpone(known, goneAt, clock);
      return known;
    }
    const added = beginLeavingHost(host, source, clock);
    postpone(added, goneAt, clock);
    hosts.set(host, added);
    if (hosts.size > MOST_HOSTS) {
      const [oldest] = hosts.keys();
      hosts.delete(oldest!);
    }
    return added;
  }

  function listedOn(host: string, endpoint: string) {
    const item = listed.get(endpoint);
    return item?.host === host ? item : undefined;
  }

  /** Adds what is new and fires for it; tells whether anything was. */
  function learn(
    host: string,
    endpoints: readonly string[],
    isWhole: boolean,
    goneAt: number,
    source: LeavingSource,
  ): boolean {
    const news = endpoints.filter(
      endpoint => !isRepeat(hosts.get(host), goneAt, endpoint),
    );
    const known = remember(host, goneAt, source);
    const fresh = news
      .filter(endpoint => !known.endpoints.has(endpoint))
      .slice(0, MOST_ENDPOINTS_PER_HOST - known.endpoints.size);
    const isNews = fresh.length > 0 || (isWhole && !known.isWhole);
    known.isWhole ||= isWhole;
    for (const endpoint of fresh) {
      known.endpoints.set(endpoint, beginDeparture(listedOn(host, endpoint)));
      known.back.delete(endpoint);
      decisions.note('members', endpoint, 'give no new work', 'it leaves', {
        host,
        source,
        goneAt,
      });
      left.fire({endpoint, host, goneAt, source});
    }
    if (isNews && source !== 'list') {
      fireCorrectedSoon();
    }
    return isNews;
  }

  function messageOf(known: LeavingHost): Messages['endpointLeaving'] {
    const {host, goneAt, isWhole} = known;
    return {endpoints: [...known.endpoints.keys()], host, goneAt, isWhole};
  }

  /** Passed on by everyone who hears it first, so that it reaches all entries. */
  function tell(host: string, except?: string) {
    const known = hosts.get(host);
    if (known === undefined) {
      return;
    }
    const receivers = network.connected().filter(peer => peer !== except);
    network.broadcast('endpointLeaving', messageOf(known), receivers);
  }

  function endpointsOn(host: string): string[] {
    return [...listed.values()]
      .filter(item => item.host === host)
      .map(({id}) => id);
  }

  function correct(list: readonly ListedEndpoint[]): ListedEndpoint[] {
    return list.map(item =>
      isLeaving(item.id, item.host) ? {...item, state: 'leaving'} : item,
    );
  }

  function fireCorrected() {
    isCorrectionDue = false;
    if (latest !== undefined && !owned.isDisposed) {
      corrected.fire(correct(latest));
    }
  }

  /** One list for all that a message or notice brought at once. */
  function fireCorrectedSoon() {
    if (isCorrectionDue) {
      return;
    }
    isCorrectionDue = true;
    clock.after(0, fireCorrected);
  }

  function hearNotice({host, goneAt}: ReclaimNotice) {
    if (learn(host, endpointsOn(host), true, goneAt, 'notice')) {
      tell(host);
    }
  }

  function hearPeer(from: string, body: Messages['endpointLeaving']) {
    const {host, goneAt, endpoints, isWhole = false} = body;
    const all = isWhole ? [...endpoints, ...endpointsOn(host)] : endpoints;
    if (learn(host, [...new Set(all)], isWhole, goneAt, 'peer')) {
      tell(host, from);
    }
  }

  function hearList(endpoints: readonly ListedEndpoint[]) {
    const before = listed;
    listed = new Map(endpoints.map(item => [item.id, item]));
    takeBackReturned();
    const changed = new Set<string>();
    for (const {id, host, state} of endpoints) {
      if (
        (state === 'leaving' || isLeaving(id, host)) &&
        learn(host, [id], false, 0, 'list')
      ) {
        changed.add(host);
      }
    }
    changed.forEach(host => tell(host));
    fireReturns(before);
    latest = endpoints;
    fireCorrected();
  }

  /** Gives work again to what the list shows to have left and come back. */
  function takeBackReturned() {
    for (const known of hosts.values()) {
      for (const [endpoint, departure] of known.endpoints) {
        const item = listedOn(known.host, endpoint);
        if (item !== undefined && isBack(departure, known, item, clock.now())) {
          known.endpoints.delete(endpoint);
          known.back.add(endpoint);
          giveWorkAgain(endpoint, known.host, 'it left and is listed again');
        } else {
          followDeparture(departure, item, listed.has(endpoint));
        }
      }
    }
  }

  function giveWorkAgain(endpoint: string, host: string, reason: string) {
    decisions.note('members', endpoint, 'give work again', reason, {host});
    returned.fire(endpoint);
  }

  function fireReturns(before: ReadonlyMap<string, ListedEndpoint>) {
    for (const [endpoint, {host}] of listed) {
      const hasMoved = before.get(endpoint)?.host !== host;
      const wasLeaving = [...hosts.values()].some(
        known => known.host !== host && known.endpoints.has(endpoint),
      );
      if (hasMoved && wasLeaving && !isLeaving(endpoint, host)) {
        returned.fire(endpoint);
      }
    }
  }

  /** Forgets hosts that no list can show any more, or that stayed after all. */
  function forgetOld() {
    const now = clock.now();
    for (const known of [...hosts.values()]) {
      if (now < known.forgetAt) {
        continue;
      }
      hosts.delete(known.host);
      for (const endpoint of known.endpoints.keys()) {
        if (listedOn(known.host, endpoint) !== undefined) {
          giveWorkAgain(endpoint, known.host, 'still listed');
          fireCorrectedSoon();
        }
      }
    }
  }

  /** A peer that was away when the word went round. */
  function catchUp(peer: string) {
    const now = clock.now();
    for (const known of hosts.values()) {
      if (now - known.since <= REPEAT_MS) {
        network.send(peer, 'endpointLeaving', messageOf(known));
      }
    }
  }

  function setReader(isReader: boolean) {
    if (isReader === (notices !== undefined)) {
      return;
    }
    notices?.dispose();
    notices = isReader ? cloud.watchNotices(hearNotice) : undefined;
  }

  owned.add(network.onDidReceive('endpointLeaving', hearPeer));
  owned.add(
    network.onDidChangePeer((peer, isOpen) => {
      if (isOpen) {
        catchUp(peer);
      }
    }),
  );
  owned.add(options.hostList.watch(hearList));
  owned.add(every(clock, FORGET_INTERVAL_MS, forgetOld));
  setReader(true);

  return {
    isLeaving,
    onDidLeave: left.event,
    onDidReturn: returned.event,
    hostList: {
      watch(listener) {
        if (latest !== undefined) {
          listener(correct(latest));
        }
        return corrected.event(listener);
      },
    },
    note(host, endpoints, goneAt, source) {
      if (learn(host, endpoints, false, goneAt, source)) {
        tell(host);
      }
    },
    setReader,
    dump: () => ({
      isReader: notices !== undefined,
      hosts: [...hosts.values()].map(known => ({
        ...known,
        endpoints: [...known.endpoints.keys()],
        back: [...known.back],
        ageMs: Math.round(clock.now() - known.since),
      })),
    }),
    dispose() {
      setReader(false);
      owned.dispose();
    },
  };
}
