/** The quotas of a gateway: accounts, decisions and their exchange. */
import {createDisposableStore, type Disposable} from '@skylarkfield/base';
import {
  createQuotas,
  type QuotaGrants,
  type Quotas,
} from '@skylarkfield/traffic';
import type {ActivePolicy} from '../policy/activePolicy.js';
import {MS_PER_SECOND, type GatewayContext} from '../context.js';
import type {Coordination} from '../process/coordination.js';
import {OVERDUE_MS, type PeerReports} from '../digests/peerReports.js';
import {
  createPeerVisibility,
  type PeerVisibility,
} from '../digests/peerVisibility.js';
import {createQuotaCharge, type QuotaCharge} from './quotaCharge.js';
import {createQuotaExchange} from './quotaExchange.js';

export interface GatewayQuotas extends Disposable {
  readonly quotas: Quotas;
  readonly quotaGrants: QuotaGrants;
  readonly peerVisibility: PeerVisibility;
  readonly charge: QuotaCharge;
}

/**
 * Creates the quotas of a gateway.
 *
 * @example
 * const gatewayQuotas = disposables.add(
 *   createGatewayQuotas(context, coordination, {policy, peerReports}));
 */
export function createGatewayQuotas(
  {settings, clock, log, incarnation, metrics, dumps}: GatewayContext,
  {network, membership, plan}: Coordination,
  {
    policy,
    peerReports,
  }: {readonly policy: ActivePolicy; readonly peerReports: PeerReports},
): GatewayQuotas {
  const disposables = createDisposableStore();
  const quotaWindowMs = settings.quotaWindowSeconds * MS_PER_SECOND;
  const quotas = createQuotas(
    clock,
    quotaWindowMs,
    log,
    name => policy.findCustomer(name)?.quota,
  );
  const peerVisibility = createPeerVisibility({
    clock,
    membership,
    reports: peerReports,
    onDidRefresh: (visibleFraction, entryCount) =>
      quotas.setReportingPeers(visibleFraction, entryCount, OVERDUE_MS),
  });
  const quotaGrants = disposables.add(
    createQuotaExchange({
      clock,
      log,
      self: settings.id,
      incarnation,
      quotaWindowMs,
      network,
      membership,
      plan,
      policy,
      quotas,
      peerReports,
      peerVisibility,
    }),
  );
  dumps.add('quotas', () => quotas.dump());
  return {
    quotas,
    quotaGrants,
    peerVisibility,
    charge: createQuotaCharge({
      quotaGrants,
      peerVisibility,
      peerReports,
      metrics,
      clock,
    }),
    dispose: () => disposables.dispose(),
  };
}
