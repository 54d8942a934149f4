/** Digests of a gateway: what it tells the other entries, and applies of theirs. */
import type {AdmissionController} from '@skylarkfield/admission';
import type {Messages} from '@skylarkfield/protocol';
import {eraOf} from '@skylarkfield/providers';
import type {
  CrashQuarantine,
  Departures,
  RateLimits,
  Router,
} from '@skylarkfield/routing';
import type {
  QuotaGrants,
  Quotas,
  UsageWindows,
  WindowCounts,
} from '@skylarkfield/traffic';
import type {GatewayContext} from '../context.js';
import type {Coordination} from '../process/coordination.js';
import {startDigests, type Digests} from './digests.js';
import type {EngineEstimates} from '../endpoints/engineEstimates.js';
import type {PeerReports} from './peerReports.js';
import type {PeerVisibility} from './peerVisibility.js';
import type {PlatformView} from '../mirrors/platformView.js';
import type {DigestScope} from './relayPlan.js';

type Digest = Messages['digest'];

/** Components whose state digests carry. */
export interface DigestParts {
  readonly platformView: PlatformView;
  readonly peerReports: PeerReports;
  readonly peerVisibility: PeerVisibility;
  readonly usageWindows: UsageWindows;
  readonly admission: AdmissionController;
  readonly quotas: Quotas;
  readonly quotaGrants: Pick<QuotaGrants, 'updateOwners'>;
  readonly router: Router;
  readonly rateLimits: RateLimits;
  readonly departures: Departures;
  readonly crashQuarantine: CrashQuarantine;
  readonly engineEstimates: EngineEstimates;
}

/**
 * Starts to exchange digests.
 *
 * @example
 * const digests = disposables.add(
 *   startTrafficDigests(context, coordination, parts));
 */
export function startTrafficDigests(
  {settings, clock, incarnation}: GatewayContext,
  {network, membership, plan}: Coordination,
  parts: DigestParts,
): Digests {
  const {platformView, peerReports, usageWindows, quotas, router} = parts;
  const {rateLimits, departures, crashQuarantine, engineEstimates} = parts;

  /**
   * Usage counts to send, by digest scope. Only the holder of the cluster duty
   * needs the counts of other entries, and an entry behind a relay never holds
   * that duty.
   */
  const usageByScope: Readonly<Record<DigestScope, () => WindowCounts>> = {
    own: usageWindows.ownCounts,
    domain: usageWindows.domainCounts,
    rest: () => ({}),
  };

  function recordUsage(peer: string, digest: Digest): void {
    const {scope = 'own', failureDomain, usage: counts} = digest;
    const isOwnScope = scope === 'own';
    const origin = isOwnScope
      ? `${peer}.${digest.incarnation}`
      : `all of ${failureDomain}`;
    const isLocalEntry = isOwnScope && failureDomain === settings.failureDomain;
    usageWindows.mergeCounts(origin, counts, isLocalEntry);
  }

  return startDigests({
    network,
    clock,
    self: {failureDomain: settings.failureDomain, incarnation},
    plan,
    takeSnapshot() {
      parts.peerVisibility.refresh();
      parts.quotaGrants.updateOwners();
      parts.admission.setEntryCount(membership.liveMembers().length);
      membership.recordStoreEra(eraOf(platformView.policy.revision()));
      const mirrors = platformView.syncStatuses();
      const ownReport = {
        entries: 1,
        used: quotas.totalOwnUsage(),
        loads: router.ownLoads(),
        limits: rateLimits.ownReports(),
        departures: departures.report(),
        crashes: crashQuarantine.reportToGossip(),
        work: engineEstimates.work.rates(),
        outcomes: engineEstimates.outcomes.counts(),
        capacity: engineEstimates.unpublishedCapacity(),
      };
      return (scope, receiver) => ({
        mirrors,
        usage: usageByScope[scope](),
        ...peerReports.aggregateFor(scope, receiver, ownReport),
      });
    },
    onDidReceive(peer, digest, timestamp) {
      rateLimits.mergeReports(digest.limits ?? {});
      departures.mergeReport(digest.departures ?? {});
      if (digest.crashes !== undefined) {
        crashQuarantine.mergeGossip(digest.crashes);
      }
      platformView.recordSyncStatuses(peer, digest.mirrors, timestamp);
      recordUsage(peer, digest);
      const acceptedReport = peerReports.acceptDigest(
        peer,
        digest,
        timestamp?.monotonicMs,
      );
      if (acceptedReport !== undefined) {
        quotas.recordPeerUsage(acceptedReport.increase);
        router.recordEntryLoads(acceptedReport.origin, digest.loads);
      }
    },
  });
}
