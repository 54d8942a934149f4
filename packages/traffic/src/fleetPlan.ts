/**
 * How many endpoints of a service to have in each failure domain and market.
 *
 * Reclaimable endpoints cost a fraction and are taken back a failure domain at a
 * time, with seconds of notice, and for a while none may be had. So the plan
 * holds a base of endpoints that stay, and spreads reclaimable ones so that the
 * loss of any one failure domain leaves what is bearable until others have
 * started. While none may be had, endpoints that stay fill up to that, and no
 * further: the rest is worth the price of reclaimable ones only.
 */
import type {FleetTerms} from './contracts.js';

/** Endpoints of one service in one failure domain. */
export interface DomainFleet {
  /** Not reclaimable. */
  readonly onDemand: number;
  readonly reclaimable: number;
}

export type FleetPlan = Readonly<Record<string, DomainFleet>>;

/** Endpoints that a service needs. */
export interface EndpointNeed {
  /** While all is well. */
  readonly usual: number;
  /** For the seconds after a failure domain was lost. */
  readonly brief: number;
}

export interface FleetNeed {
  readonly terms: FleetTerms;
  readonly needed: EndpointNeed;
  /** Failure domains where no reclaimable ones are to be had at present, with how many are there. */
  readonly scarce: ReadonlyMap<string, number>;
}

/** Part of the demand that endpoints which can't be reclaimed carry by themselves. */
const STANDING_PART = 0.25;

const SECOND_MS = 1_000;

/**
 * Endpoints that the work needs, in milliseconds of one endpoint a second, when
 * such a part of their time may be planned for.
 *
 * @example
 * const count = endpointsNeeded(2_600, 0.34); // 8
 */
export function endpointsNeeded(workRate: number, plannedUse: number): number {
  return Math.max(1, Math.ceil(workRate / (SECOND_MS * plannedUse)));
}

/**
 * Plans a service's endpoints.
 *
 * @example
 * const plan = planFleet({terms, needed: {usual: 4, brief: 3}, scarce: new Map()});
 */
export function planFleet({terms, needed, scarce}: FleetNeed): FleetPlan {
  const domains = Object.keys(terms.prices).sort(
    (a, b) => terms.prices[a]! - terms.prices[b]!,
  );
  const counts = new Map(
    domains.map(domain => [
      domain,
      {onDemand: 0, reclaimable: scarce.get(domain) ?? 0},
    ]),
  );
  const isReclaimable = (domain: string) =>
    terms.reclaimablePrice !== undefined && !scarce.has(domain);

  function total(domain: string): number {
    const {onDemand, reclaimable} = counts.get(domain)!;
    return onDemand + reclaimable;
  }

  function addStanding(count: number): void {
    for (let left = count; left > 0; left--) {
      const domain = domains.find(name => total(name) < terms.most);
      if (domain === undefined) {
        return;
      }
      counts.get(domain)!.onDemand += 1;
    }
  }

  function sum(): number {
    return domains.reduce((all, domain) => all + total(domain), 0);
  }

  /** What is left when the failure domain with most reclaimable ones loses them. */
  function leftAfterLoss(): number {
    const lost = [...counts.values()].map(({reclaimable}) => reclaimable);
    return sum() - Math.max(0, ...lost);
  }

  addStanding(Math.max(1, Math.round(needed.usual * STANDING_PART)));
  for (const domain of domains) {
    const missing = terms.least - total(domain);
    if (missing > 0 && isReclaimable(domain)) {
      counts.get(domain)!.reclaimable += missing;
    }
  }
  while (leftAfterLoss() < needed.brief || sum() < needed.usual) {
    const domain = domains
      .filter(name => isReclaimable(name) && total(name) < terms.most)
      .sort((a, b) => total(a) - total(b))[0];
    if (domain === undefined) {
      break;
    }
    counts.get(domain)!.reclaimable += 1;
  }
  addStanding(needed.brief - sum());
  return Object.fromEntries(counts);
}
