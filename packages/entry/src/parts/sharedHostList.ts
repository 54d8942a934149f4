/** The host list as this entry has it: from the platform, and from peers until then. */
import {
  disposableStore,
  every,
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

/** How often a peer is asked while there is no list, in milliseconds. */
const ASK_INTERVAL_MS = 500;
/** Time that a peer has to answer, in milliseconds. */
const ASK_TIMEOUT_MS = 2_000;

const answerShape = z.object({endpoints: z.array(listedEndpointSchema)});

interface SharedHostListOptions {
  readonly hostList: HostList;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
}

/**
 * Wraps a host list so that a process started during an outage of the platform
 * has one: it would know every service and no endpoint, and refuse all requests
 * while its peers serve. A list from the platform always replaces a peer's.
 *
 * @example
 * const hostList = createSharedHostList({hostList: platform.hostList, network, clock, random, log});
 * const watch = hostList.watch(adopt);
 */
export function createSharedHostList(options: SharedHostListOptions): HostList {
  return {watch: listener => shareWatch(options, listener)};
}

function shareWatch(
  options: SharedHostListOptions,
  listener: (endpoints: readonly ListedEndpoint[]) => void,
): Disposable {
  const {hostList, network, clock, random, log} = options;
  const owned = disposableStore();
  let known: readonly ListedEndpoint[] | undefined;
  let isFromPlatform = false;
  let isAsking = false;

  owned.add(
    hostList.watch(endpoints => {
      isFromPlatform = true;
      known = endpoints;
      listener(endpoints);
    }),
  );
  owned.add(
    network.onDidReceive('endpointsWanted', () => ({endpoints: known ?? []})),
  );
  const asking = owned.add(every(clock, ASK_INTERVAL_MS, () => void askPeer()));
  owned.add(toDisposable(() => (known = undefined)));
  return owned;

  async function askPeer(): Promise<void> {
    if (known !== undefined) {
      asking.dispose();
      return;
    }
    const peer = random.pick(network.connectedPeers());
    if (peer === undefined || isAsking) {
      return;
    }
    isAsking = true;
    try {
      const answer = await network.request(
        peer,
        'endpointsWanted',
        {},
        ASK_TIMEOUT_MS,
      );
      adoptPeers(answerShape.parse(answer).endpoints);
    } catch (error) {
      log.debug({peer, error: String(error)}, 'no host list from peer');
    } finally {
      isAsking = false;
    }
  }

  function adoptPeers(endpoints: readonly ListedEndpoint[]): void {
    if (isFromPlatform || endpoints.length === 0 || owned.isDisposed) {
      return;
    }
    known = endpoints;
    listener(endpoints);
  }
}
