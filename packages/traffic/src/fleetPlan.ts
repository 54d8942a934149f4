/**
 * Number of endpoints of a service in each failure domain and market.
 *
 * Reclaimable endpoints cost a fraction of on-demand ones, but a whole failure
 * domain of them is reclaimed at once with seconds of notice, and then none may
 * be available for a while. So the plan has a base of on-demand endpoints and
 * spreads reclaimable ones so that the loss of any failure domain leaves enough
 * for the brief need until replacements have started. While no reclaimable ones
 * are available, on-demand endpoints cover the brief need only: covering the
 * usual need is not worth their price.
 */
import type {FleetConfig} from './contracts.js';

/** Endpoints of one service in one failure domain. */
export interface DomainFleet {
  /** Endpoints that are not reclaimable. */
  readonly onDemand: number;
  readonly reclaimable: number;
}

export type FleetPlan = Readonly<Record<string, DomainFleet>>;

/** Endpoints that a service needs. */
export interface EndpointNeed {
  /** In normal operation. */
  readonly usual: number;
  /** For the seconds after a failure domain is lost. */
  readonly brief: number;
}

export interface FleetPlanInput {
  readonly config: FleetConfig;
  readonly needed: EndpointNeed;
  /** Reclaimable endpoints present where no more are available, by domain. */
  readonly scarce: ReadonlyMap<string, number>;
}

/** Fraction of the usual need that on-demand endpoints cover. */
const ON_DEMAND_FRACTION = 0.25;

const SECOND_MS = 1_000;

/**
 * Returns the endpoints needed for a work rate, in milliseconds of one endpoint
 * per second, at a target utilization.
 *
 * @example
 * const count = endpointsNeeded(2_600, 0.34); // 8
 */
export function endpointsNeeded(
  workRate: number,
  targetUtilization: number,
): number {
  return Math.max(1, Math.ceil(workRate / (SECOND_MS * targetUtilization)));
}

/**
 * Plans a service's endpoints.
 *
 * @example
 * const plan = planFleet({config, needed: {usual: 4, brief: 3}, scarce: new Map()});
 */
export function planFleet({config, needed, scarce}: FleetPlanInput): FleetPlan {
  const domains = Object.keys(config.prices).sort(
    (a, b) => config.prices[a]! - config.prices[b]!,
  );
  const counts = new Map(
    domains.map(domain => [
      domain,
      {onDemand: 0, reclaimable: scarce.get(domain) ?? 0},
    ]),
  );
  const canAddReclaimable = (domain: string) =>
    config.reclaimablePrice !== undefined && !scarce.has(domain);

  function domainTotal(domain: string): number {
    const {onDemand, reclaimable} = counts.get(domain)!;
    return onDemand + reclaimable;
  }

  function addOnDemand(count: number): void {
    for (let remaining = count; remaining > 0; remaining--) {
      const domain = domains.find(name => domainTotal(name) < config.most);
      if (domain === undefined) {
        return;
      }
      counts.get(domain)!.onDemand += 1;
    }
  }

  function fleetTotal(): number {
    return domains.reduce((all, domain) => all + domainTotal(domain), 0);
  }

  /** Endpoints left when one failure domain loses its reclaimable ones. */
  function remainingAfterLoss(): number {
    const reclaimableCounts = [...counts.values()].map(
      ({reclaimable}) => reclaimable,
    );
    return fleetTotal() - Math.max(0, ...reclaimableCounts);
  }

  addOnDemand(Math.max(1, Math.round(needed.usual * ON_DEMAND_FRACTION)));
  for (const domain of domains) {
    const missing = config.least - domainTotal(domain);
    if (missing > 0 && canAddReclaimable(domain)) {
      counts.get(domain)!.reclaimable += missing;
    }
  }
  while (remainingAfterLoss() < needed.brief || fleetTotal() < needed.usual) {
    const domain = domains
      .filter(
        name => canAddReclaimable(name) && domainTotal(name) < config.most,
      )
      .sort((a, b) => domainTotal(a) - domainTotal(b))[0];
    if (domain === undefined) {
      break;
    }
    counts.get(domain)!.reclaimable += 1;
  }
  addOnDemand(needed.brief - fleetTotal());
  return Object.fromEntries(counts);
}
