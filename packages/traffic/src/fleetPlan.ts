/**
 * Plans the number of a service's endpoints in each failure domain and market.
 *
 * Reclaimable endpoints cost a fraction of on-demand endpoints. But all
 * reclaimable endpoints of a failure domain are reclaimed at once with seconds
 * of notice, and the domain may then offer none for a while. So the plan has a
 * base of on-demand endpoints and spreads reclaimable endpoints so that the
 * loss of any failure domain leaves enough for the brief need until
 * replacements have started. If reclaimable endpoints are not available,
 * on-demand endpoints cover the brief need, also after a further loss, but not
 * the usual need, which is not worth their price.
 *
 * For engines with few slots the base is smaller, and further reclaimable
 * endpoints are the reserve for a second failure domain lost within seconds.
 */
import type {FleetConfig} from './contracts.js';
import {planningRules, type PlanningKind} from './planningRules.js';

/** Endpoints of one service in one failure domain. */
export interface DomainFleet {
  /** Endpoints that are not reclaimable. */
  readonly onDemand: number;
  readonly reclaimable: number;
}

/** Planned endpoints of one service, by failure domain. */
export type FleetPlan = Readonly<Record<string, DomainFleet>>;

/** Number of endpoints that a service needs. */
export interface EndpointNeed {
  /** Endpoints needed in normal operation. */
  readonly usual: number;
  /** Endpoints needed in the seconds after a failure domain is lost. */
  readonly brief: number;
}

export interface FleetPlanInput {
  readonly config: FleetConfig;
  readonly needed: EndpointNeed;
  /**
   * Number of present reclaimable endpoints by failure domain, for the failure
   * domains that offer no further ones.
   */
  readonly scarce: ReadonlyMap<string, number>;
  /** Kind of the service; `general` if absent. */
  readonly kind?: PlanningKind;
}

/**
 * Minimum number of failure domains for a reserve for two losses. With two,
 * only on-demand endpoints would remain.
 */
const MIN_DOMAINS_FOR_SECOND_LOSS = 3;

const SECOND_MS = 1_000;

/**
 * Returns the number of endpoints needed at a target utilization, 0 to 1. The
 * work rate is in milliseconds of one endpoint's time per second.
 *
 * @example
 * const count = countEndpointsNeeded(2_600, 0.34); // 8
 */
export function countEndpointsNeeded(
  workRate: number,
  targetUtilization: number,
): number {
  return Math.max(1, Math.ceil(workRate / (SECOND_MS * targetUtilization)));
}

/**
 * Plans the number of endpoints by failure domain and market. On-demand
 * endpoints go to the cheapest failure domains; reclaimable endpoints go to the
 * domains with the fewest endpoints.
 *
 * @example
 * const plan = planFleet({config, needed: {usual: 4, brief: 3}, scarce: new Map()});
 */
export function planFleet({
  config,
  needed,
  scarce,
  kind = 'general',
}: FleetPlanInput): FleetPlan {
  const {onDemandFraction, secondLossFraction} = planningRules(kind);
  const domains = Object.keys(config.prices).sort(
    (a, b) => config.prices[a]! - config.prices[b]!,
  );
  const fleetsByDomain = new Map(
    domains.map(domain => [
      domain,
      {onDemand: 0, reclaimable: scarce.get(domain) ?? 0},
    ]),
  );
  const canAddReclaimable = (domain: string) =>
    config.reclaimablePrice !== undefined && !scarce.has(domain);

  function domainTotal(domain: string): number {
    const {onDemand, reclaimable} = fleetsByDomain.get(domain)!;
    return onDemand + reclaimable;
  }

  function addOnDemand(count: number): void {
    for (let remaining = count; remaining > 0; remaining--) {
      const domain = domains.find(name => domainTotal(name) < config.most);
      if (domain === undefined) {
        return;
      }
      fleetsByDomain.get(domain)!.onDemand += 1;
    }
  }

  function fleetTotal(): number {
    return domains.reduce((total, domain) => total + domainTotal(domain), 0);
  }

  /**
   * Returns the number of endpoints that remain after the failure domains with
   * the most reclaimable endpoints lose them.
   */
  function minTotalAfterLoss(lostDomainCount = 1): number {
    const lostCount = [...fleetsByDomain.values()]
      .map(({reclaimable}) => reclaimable)
      .sort((a, b) => b - a)
      .slice(0, lostDomainCount)
      .reduce((sum, count) => sum + count, 0);
    return fleetTotal() - lostCount;
  }

  // After a first loss, endpoints ordered now may be ready before the next one,
  // and a reserve in the remaining domains would cost the most.
  const coversSecondLoss =
    domains.length >= MIN_DOMAINS_FOR_SECOND_LOSS &&
    domains.every(canAddReclaimable);

  function isCovered(): boolean {
    return (
      fleetTotal() >= needed.usual &&
      minTotalAfterLoss() >= needed.brief &&
      (!coversSecondLoss ||
        minTotalAfterLoss(2) >= needed.brief * secondLossFraction)
    );
  }

  addOnDemand(Math.max(1, Math.round(needed.usual * onDemandFraction)));
  for (const domain of domains) {
    const missingCount = config.least - domainTotal(domain);
    if (missingCount > 0 && canAddReclaimable(domain)) {
      fleetsByDomain.get(domain)!.reclaimable += missingCount;
    }
  }
  while (!isCovered()) {
    const domain = domains
      .filter(
        name => canAddReclaimable(name) && domainTotal(name) < config.most,
      )
      .sort((a, b) => domainTotal(a) - domainTotal(b))[0];
    if (domain === undefined) {
      break;
    }
    fleetsByDomain.get(domain)!.reclaimable += 1;
  }
  addOnDemand(needed.brief - minTotalAfterLoss());
  return Object.fromEntries(fleetsByDomain);
}
