/** Asks other entries whether they reach the endpoints of a service. */
import type {Disposable, Logger, Random} from '@skylarkfield/base';
import type {Membership} from '@skylarkfield/members';
import type {PeerNetwork} from '@skylarkfield/protocol';
import type {EndpointReach, PeerAnswer} from '@skylarkfield/routing';

/** Maximum number of entries asked at the same time; some may be cut off too. */
const ASKED_PEERS = 8;

/** Time limit of an answer, in milliseconds; covers the probes of the peer. */
const ANSWER_TIMEOUT_MS = 500;

/**
 * Returns whether one of a few connected entries reaches the service. Does not
 * ask those that have announced that they do not. The answer of the first that
 * does is enough.
 *
 * @example
 * const answer = await askPeers({network, membership, random, log}, 'chat');
 */
export async function askPeers(
  {
    network,
    membership,
    random,
    log,
  }: {
    readonly network: PeerNetwork;
    readonly membership: Pick<Membership, 'members'>;
    readonly random: Random;
    readonly log: Logger;
  },
  service: string,
): Promise<PeerAnswer> {
  const cutOffIds = new Set(
    membership
      .members()
      .filter(({unreachableServices}) => unreachableServices?.includes(service))
      .map(({id}) => id),
  );
  const peers = network
    .connectedPeers()
    .filter(id => !cutOffIds.has(id))
    .map(peer => ({peer, rank: random.next()}))
    .sort((a, b) => a.rank - b.rank)
    .slice(0, ASKED_PEERS);
  /** Whether some entry is known not to reach the service, or there is none. */
  let isAnswered = cutOffIds.size > 0 || membership.members().length <= 1;
  const answers = peers.map(async ({peer}) => {
    const isReached = await network.request(
      peer,
      'reachWanted',
      {service},
      ANSWER_TIMEOUT_MS,
    );
    isAnswered = true;
    if (isReached !== true) {
      throw new Error(`${peer} does not reach ${service}`);
    }
  });
  try {
    await Promise.any(answers);
    return 'reached';
  } catch (error) {
    const reasons = (error as AggregateError).errors.map(String);
    log.info({service, isAnswered, reasons}, 'no peer reaches the service');
    return isAnswered ? 'not-reached' : 'unanswered';
  }
}

/**
 * Answers the questions of other entries.
 *
 * @example
 * disposables.add(answerPeers(network, reach));
 */
export function answerPeers(
  network: PeerNetwork,
  reach: Pick<EndpointReach, 'isReached'>,
): Disposable {
  return network.addHandler('reachWanted', (_, {service}) =>
    reach.isReached(service),
  );
}
