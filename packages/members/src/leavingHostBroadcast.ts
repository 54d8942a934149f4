/** Sends the states of leaving hosts to the peers of this entry. */
import type {Clock, Disposable} from '@skylarkfield/base';
import type {Messages, PeerNetwork} from '@skylarkfield/protocol';
import type {LeavingHost} from './leavingHost.js';
import type {LeavingHostTable} from './leavingHostTable.js';

export interface LeavingHostBroadcast extends Disposable {
  /**
   * Sends the state of a leaving host to the connected peers. As every entry
   * forwards new reports, each report reaches all entries.
   */
  send(host: string, exceptPeer?: string): void;
}

/**
 * Maximum age of reports that are resent to a newly connected peer, in
 * milliseconds.
 */
const RESEND_WINDOW_MS = 120_000;

/**
 * Creates a broadcast that also resends recent reports to each newly connected
 * peer until disposed.
 *
 * @example
 * const broadcast = createLeavingHostBroadcast({network, clock, leavingHosts});
 * broadcast.send('h1');
 */
export function createLeavingHostBroadcast(options: {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly leavingHosts: Pick<LeavingHostTable, 'get' | 'hosts'>;
}): LeavingHostBroadcast {
  const {network, clock, leavingHosts} = options;

  /** Resends recent reports to a peer that may have missed the broadcast. */
  function resendRecentReports(peer: string) {
    const now = clock.now();
    for (const leavingHost of leavingHosts.hosts()) {
      if (now - leavingHost.since <= RESEND_WINDOW_MS) {
        network.send(peer, 'endpointLeaving', toLeavingMessage(leavingHost));
      }
    }
  }

  const subscription = network.onDidChangePeer((peer, isOpen) => {
    if (isOpen) {
      resendRecentReports(peer);
    }
  });

  return {
    send(host, exceptPeer) {
      const leavingHost = leavingHosts.get(host);
      if (leavingHost === undefined) {
        return;
      }
      const receivers = network
        .connectedPeers()
        .filter(peer => peer !== exceptPeer);
      network.broadcast(
        'endpointLeaving',
        toLeavingMessage(leavingHost),
        receivers,
      );
    },
    dispose: () => subscription.dispose(),
  };
}

function toLeavingMessage(
  leavingHost: LeavingHost,
): Messages['endpointLeaving'] {
  const {host, goneAt, isWhole} = leavingHost;
  return {
    endpoints: [...leavingHost.endpoints.keys()],
    host,
    goneAt,
    isWhole,
  };
}
