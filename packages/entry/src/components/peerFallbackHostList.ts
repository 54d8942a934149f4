/** Host list of the platform, or of a peer until the platform responds. */
import {
  createDisposableStore,
  scheduleRepeatedly,
  toDisposable,
  type Clock,
  type Disposable,
  type Logger,
  type Random,
} from '@skylarkfield/base';
import {
  listedEndpointSchema,
  type HostList,
  type ListedEndpoint,
} from '@skylarkfield/providers';
import type {PeerNetwork} from '@skylarkfield/protocol';
import * as z from 'zod';

/** Interval of requests to peers until a list is received, in milliseconds. */
const PEER_REQUEST_INTERVAL_MS = 500;
/** Timeout of a request to a peer, in milliseconds. */
const PEER_REQUEST_TIMEOUT_MS = 2_000;

const responseSchema = z.object({endpoints: z.array(listedEndpointSchema)});

interface PeerFallbackHostListOptions {
  readonly hostList: HostList;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
}

/**
 * Wraps a host list with a fallback to peers' lists. Without the fallback, an
 * entry started during a platform outage would have no endpoints and reject all
 * requests while its peers serve requests. The platform's list always replaces
 * the list of a peer.
 *
 * @example
 * const hostList = createPeerFallbackHostList(options);
 * const watch = hostList.watch(applyHostList);
 */
export function createPeerFallbackHostList(
  options: PeerFallbackHostListOptions,
): HostList {
  return {watch: listener => watchWithPeerFallback(options, listener)};
}

function watchWithPeerFallback(
  options: PeerFallbackHostListOptions,
  listener: (endpoints: readonly ListedEndpoint[]) => void,
): Disposable {
  const {hostList, network, clock, random, log} = options;
  const disposables = createDisposableStore();
  let currentList: readonly ListedEndpoint[] | undefined;
  let hasPlatformList = false;
  let isRequesting = false;

  disposables.add(
    hostList.watch(endpoints => {
      hasPlatformList = true;
      currentList = endpoints;
      listener(endpoints);
    }),
  );
  disposables.add(
    network.addHandler('endpointsWanted', () => ({
      endpoints: currentList ?? [],
    })),
  );
  const requestTimer = disposables.add(
    scheduleRepeatedly(
      clock,
      PEER_REQUEST_INTERVAL_MS,
      () => void requestListFromPeer(),
    ),
  );
  disposables.add(toDisposable(() => (currentList = undefined)));
  return disposables;

  async function requestListFromPeer(): Promise<void> {
    if (currentList !== undefined) {
      requestTimer.dispose();
      return;
    }
    const peer = random.pick(network.connectedPeers());
    if (peer === undefined || isRequesting) {
      return;
    }
    isRequesting = true;
    try {
      const response = await network.request(
        peer,
        'endpointsWanted',
        {},
        PEER_REQUEST_TIMEOUT_MS,
      );
      applyPeerList(responseSchema.parse(response).endpoints);
    } catch (error) {
      log.debug(
        {peer, error: String(error)},
        'host list request to peer failed',
      );
    } finally {
      isRequesting = false;
    }
  }

  function applyPeerList(endpoints: readonly ListedEndpoint[]): void {
    if (hasPlatformList || endpoints.length === 0 || disposables.isDisposed) {
      return;
    }
    currentList = endpoints;
    listener(endpoints);
  }
}
