/** Connects the decisions on quotas to the other entries. */
import {
  createDisposableStore,
  ServingError,
  type Clock,
  type Disposable,
  type Logger,
} from '@skylarkfield/base';
import type {Membership} from '@skylarkfield/members';
import type {PeerNetwork} from '@skylarkfield/protocol';
import {
  createQuotaGrants,
  rankQuotaOwners,
  type CustomerConfig,
  type QuotaAnswer,
  type QuotaGrants,
  type QuotaRedirect,
  type Quotas,
  type QuotaTakeoverAnswer,
} from '@skylarkfield/traffic';
import type {ActivePolicy} from '../policy/activePolicy.js';
import type {PeerReports} from '../digests/peerReports.js';
import type {PeerVisibility} from '../digests/peerVisibility.js';
import type {RelayPlan} from '../digests/relayPlan.js';

export interface QuotaExchange extends QuotaGrants, Disposable {}

/**
 * Time limit of an answer, in milliseconds. A stand-in is asked after it, so
 * that callers wait little for an owner that is stopped or cut off.
 */
const ANSWER_TIMEOUT_MS = 200;

/**
 * Time for which a ranking of entries is used, in milliseconds: entries become
 * settled without a change of the membership.
 */
const RANKING_MS = 300;

/**
 * Creates the decisions on quotas of this entry, and answers the questions of
 * other entries.
 *
 * @example
 * const exchange = disposables.add(createQuotaExchange({...parts, quotaWindowMs}));
 * const grant = await exchange.consume(customer, 1_540);
 */
export function createQuotaExchange(options: {
  readonly clock: Clock;
  readonly log: Logger;
  readonly self: string;
  readonly incarnation: number;
  readonly quotaWindowMs: number;
  readonly network: PeerNetwork;
  readonly membership: Pick<Membership, 'members' | 'onDidChange'>;
  plan(): RelayPlan;
  readonly policy: Pick<ActivePolicy, 'findCustomer'>;
  readonly quotas: Quotas;
  readonly peerReports: Pick<PeerReports, 'reportAgeMs' | 'isSilent'>;
  readonly peerVisibility: Pick<PeerVisibility, 'isEntryCountKnown'>;
}): QuotaExchange {
  const {clock, network, membership, policy, peerReports} = options;
  const disposables = createDisposableStore();
  const rankings = new Map<string, readonly string[]>();
  /** Failure domains of the candidates so far; some may have left. */
  const domains = new Map<string, string>();
  let rankedAtMs = -Infinity;

  disposables.add(membership.onDidChange(() => (rankedAtMs = -Infinity)));

  function rank(customer: string): readonly string[] {
    const nowMs = clock.now();
    if (nowMs - rankedAtMs >= RANKING_MS) {
      rankedAtMs = nowMs;
      rankings.clear();
    }
    const ranking = rankings.get(customer) ?? rankAnew(customer);
    rankings.set(customer, ranking);
    return ranking;
  }

  function rankAnew(customer: string): string[] {
    const members = new Map(
      membership.members().map(member => [member.id, member]),
    );
    const groups = options.plan().coordinatorGroups.map(ids =>
      ids
        .map(id => {
          const {incarnation = 0, failureDomain = ''} = members.get(id) ?? {};
          domains.set(id, failureDomain);
          return {id, startedAtMs: incarnation};
        })
        // Reports tell of a lost entry before the membership does.
        .filter(({id}) => id === options.self || !peerReports.isSilent(id)),
    );
    return rankQuotaOwners(customer, groups, {
      wallMs: clock.wall(),
      windowMs: options.quotaWindowMs,
    });
  }

  /** Finds a customer of the policy that is active at this entry. */
  function customerNamed(name: string): CustomerConfig {
    const customer = policy.findCustomer(name);
    if (customer === undefined || !options.peerVisibility.isEntryCountKnown()) {
      throw new ServingError(
        'not-ready',
        `this entry cannot account for customer "${name}" yet`,
      );
    }
    return customer;
  }

  const grants = createQuotaGrants({
    ...options,
    peers: {
      ask: async (entry, question) =>
        (await network.request(
          entry,
          'quotaWanted',
          question,
          ANSWER_TIMEOUT_MS,
        )) as QuotaAnswer | QuotaRedirect,
      refund: (entry, refund) =>
        void network.send(entry, 'quotaRefund', refund),
      takeOver: async (entry, takeover) =>
        (await network.request(
          entry,
          'quotaTakeover',
          takeover,
          ANSWER_TIMEOUT_MS,
        )) as QuotaTakeoverAnswer,
      rank,
      reportAgeMs: entry =>
        peerReports.reportAgeMs(entry, domains.get(entry) ?? ''),
    },
  });
  disposables.add(
    network.addHandler('quotaWanted', (_, question) =>
      grants.answer(customerNamed(question.customer), question),
    ),
  );
  disposables.add(
    network.addHandler('quotaRefund', (_, refund) =>
      grants.takeBack(customerNamed(refund.customer), refund),
    ),
  );
  disposables.add(network.addHandler('quotaTakeover', grants.yieldTo));
  return {...grants, dispose: () => disposables.dispose()};
}
