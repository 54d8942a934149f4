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
 */
import type {FleetConfig} from './contracts.js';

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
}

/** Fraction of the usual need that on-demand endpoints cover. */
const ON_DEMAND_FRACTION = 0.25;

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
export function planFleet({config, needed, scarce}: FleetPlanInput): FleetPlan {
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
   * Returns the number of endpoints that remain after the failure domain with
   * the most reclaimable endpoints loses them.
   */
  function minTotalAfterLoss(): number {
    const reclaimableCounts = [...fleetsByDomain.values()].map(
      ({reclaimable}) => reclaimable,
    );
    return fleetTotal() - Math.max(0, ...reclaimableCounts);
  }

  addOnDemand(Math.max(1, Math.round(needed.usual * ON_DEMAND_FRACTION)));
  for (const domain of domains) {
    const missingCount = config.least - domainTotal(domain);
    if (missingCount > 0 && canAddReclaimable(domain)) {
      fleetsByDomain.get(domain)!.reclaimable += missingCount;
    }
  }
  while (minTotalAfterLoss() < needed.brief || fleetTotal() < needed.usual) {
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
