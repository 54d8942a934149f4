/**
 * Plans the hosts of a service at minimum cost such that the service tolerates
 * the loss of a failure domain.
 */
import type {
  Demand,
  HostPlan,
  Market,
  Offer,
  CapacityPool,
  WantedHosts,
} from './contracts.js';

/**
 * Hours to replace a replica, including rejected starts, the start of the host
 * and the loading of weights.
 */
const REPLACEMENT_HOURS = 0.1;
/**
 * Cost of a missing replica, in multiples of its price; answers are late until
 * the replica is replaced.
 */
const MISSING_REPLICA_COST_FACTOR = 5;
/** Number of failure domains that may lose all reclaimable hosts at once. */
const CORRELATED_RECLAIM_DOMAINS = 2;

/** Failure domain, with the market in which its hosts are started. */
interface Placement {
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly market: Market;
  readonly pricePerHour: number;
  readonly onDemandPricePerHour: number | undefined;
  readonly reclaimRate: number;
}

/** Number of hosts at one placement. */
interface Allocation {
  readonly placement: Placement;
  readonly count: number;
}

/**
 * Plans the hosts of one service.
 *
 * The loss of the failure domain with the most replicas must leave enough
 * replicas for the latency target. This takes `replicas / (k - 1)` spare hosts
 * over k domains: more domains need fewer spares but include more expensive
 * domains, so the plans for all k are compared. A correlated reclaim in several
 * domains must leave `minReplicas`; on-demand hosts make up the difference.
 *
 * @example
 * const plan = planHosts(demand, offers, pools);
 */
export function planHosts(
  demand: Demand,
  offers: readonly Offer[],
  pools: readonly CapacityPool[],
): HostPlan {
  const replicas = Math.min(
    Math.max(demand.replicas, demand.minReplicas),
    demand.maxReplicas,
  );
  const placements = usablePlacements(demand.machineClass, offers, pools);
  if (replicas === 0 || placements.length === 0) {
    return emptyPlan(replicas);
  }
  const candidates = placements.map((_, index) =>
    allocateEvenly(
      placements.slice(0, index + 1),
      replicas,
      demand.maxReplicas,
    ),
  );
  const bestCandidate = candidates
    .map(allocations => convertToOnDemand(allocations, demand.minReplicas))
    .map(allocations => ({
      allocations,
      wanted: toWantedHosts(demand.service, allocations),
    }))
    .sort((a, b) => comparePlans(a.allocations, b.allocations, replicas))[0];
  return toHostPlan(
    bestCandidate!.allocations,
    bestCandidate!.wanted,
    replicas,
  );
}

/**
 * Returns each failure domain with its market of the lowest expected price; the
 * cheapest domain comes first.
 */
function usablePlacements(
  machineClass: string,
  offers: readonly Offer[],
  pools: readonly CapacityPool[],
): Placement[] {
  const domains = new Set(offers.map(offer => offer.failureDomain));
  return [...domains]
    .flatMap(
      domain => cheapestPlacement(domain, machineClass, offers, pools) ?? [],
    )
    .sort(
      (a, b) =>
        expectedPricePerHour(a) - expectedPricePerHour(b) ||
        compareDomainNames(a, b),
    );
}

function cheapestPlacement(
  failureDomain: string,
  machineClass: string,
  offers: readonly Offer[],
  pools: readonly CapacityPool[],
): Placement | undefined {
  const pool = pools.find(
    item =>
      item.failureDomain === failureDomain &&
      item.machineClass === machineClass,
  );
  const priceOf = (market: Market) =>
    offers.find(
      offer =>
        offer.failureDomain === failureDomain &&
        offer.machineClass === machineClass &&
        offer.market === market &&
        !pool?.isRefused(market),
    )?.pricePerHour;
  const onDemandPricePerHour = priceOf('on-demand');
  const candidates = (['reclaimable', 'on-demand'] as const).flatMap(market => {
    const pricePerHour = priceOf(market);
    if (pricePerHour === undefined) {
      return [];
    }
    const reclaimRate = market === 'reclaimable' ? (pool?.reclaimRate ?? 0) : 0;
    const placement: Placement = {
      failureDomain,
      machineClass,
      market,
      pricePerHour,
      onDemandPricePerHour,
      reclaimRate,
    };
    return [placement];
  });
  return candidates.sort(
    (a, b) => expectedPricePerHour(a) - expectedPricePerHour(b),
  )[0];
}

/** Returns the price of a host plus the expected cost of its reclaims. */
function expectedPricePerHour(placement: Placement): number {
  const missingReplicaCost =
    placement.reclaimRate * REPLACEMENT_HOURS * MISSING_REPLICA_COST_FACTOR;
  return placement.pricePerHour * (1 + missingReplicaCost);
}

function compareDomainNames(a: Placement, b: Placement): number {
  return a.failureDomain < b.failureDomain ? -1 : 1;
}

/**
 * Allocates hosts evenly, so that all placements but the largest together have
 * enough hosts for the replicas.
 */
function allocateEvenly(
  placements: readonly Placement[],
  replicas: number,
  maxReplicas: number,
): Allocation[] {
  const otherPlacementCount = Math.max(1, placements.length - 1);
  const hostsPerPlacement = Math.ceil(replicas / otherPlacementCount);
  let remainingHosts =
    placements.length === 1
      ? replicas
      : Math.min(replicas + hostsPerPlacement, maxReplicas);
  return placements.map(placement => {
    const count = Math.min(hostsPerPlacement, remainingHosts);
    remainingHosts -= count;
    return {placement, count};
  });
}

/**
 * Converts reclaimable to on-demand hosts, the lowest surcharge first, until a
 * correlated reclaim would leave `minReplicas` or no host is left to convert.
 */
function convertToOnDemand(
  allocations: readonly Allocation[],
  minReplicas: number,
): Allocation[] {
  const result = [...allocations];
  let missingReplicas = minReplicas - replicasAfterCorrelatedReclaim(result);
  const convertibleAllocations = result
    .map((item, index) => ({...item, index}))
    .filter(
      ({placement}) =>
        placement.market === 'reclaimable' &&
        placement.onDemandPricePerHour !== undefined,
    )
    .sort(
      (a, b) => onDemandPremium(a.placement) - onDemandPremium(b.placement),
    );
  for (const {placement, index, count} of convertibleAllocations) {
    if (missingReplicas <= 0) {
      break;
    }
    const convertedCount = Math.min(count, missingReplicas);
    result[index] = {placement, count: count - convertedCount};
    result.push({
      placement: {
        ...placement,
        market: 'on-demand',
        pricePerHour: placement.onDemandPricePerHour as number,
        reclaimRate: 0,
      },
      count: convertedCount,
    });
    missingReplicas = minReplicas - replicasAfterCorrelatedReclaim(result);
  }
  return result;
}

function onDemandPremium(placement: Placement): number {
  return (placement.onDemandPricePerHour ?? Infinity) - placement.pricePerHour;
}

function replicasAfterCorrelatedReclaim(
  allocations: readonly Allocation[],
): number {
  const reclaimableCounts = allocations
    .filter(item => item.placement.market === 'reclaimable')
    .map(item => item.count)
    .sort((a, b) => b - a);
  const lostReplicas = sum(
    reclaimableCounts.slice(0, CORRELATED_RECLAIM_DOMAINS),
  );
  return sum(allocations.map(item => item.count)) - lostReplicas;
}

/**
 * Compares allocations by missing replicas after the loss of a failure domain,
 * then by expected cost.
 */
function comparePlans(
  a: readonly Allocation[],
  b: readonly Allocation[],
  replicas: number,
): number {
  const shortfallA = Math.max(0, replicas - replicasAfterDomainLoss(a));
  const shortfallB = Math.max(0, replicas - replicasAfterDomainLoss(b));
  if (shortfallA !== shortfallB) {
    return shortfallA - shortfallB;
  }
  return expectedCostPerHour(a) - expectedCostPerHour(b);
}

function expectedCostPerHour(allocations: readonly Allocation[]): number {
  return sum(
    allocations.map(
      ({placement, count}) => expectedPricePerHour(placement) * count,
    ),
  );
}

/** Returns the replicas left after the loss of the largest failure domain. */
function replicasAfterDomainLoss(allocations: readonly Allocation[]): number {
  const hostsPerDomain = new Map<string, number>();
  for (const {placement, count} of allocations) {
    const previousCount = hostsPerDomain.get(placement.failureDomain) ?? 0;
    hostsPerDomain.set(placement.failureDomain, previousCount + count);
  }
  const counts = [...hostsPerDomain.values()];
  return sum(counts) - Math.max(0, ...counts);
}

function toWantedHosts(
  service: string,
  allocations: readonly Allocation[],
): WantedHosts[] {
  return allocations
    .filter(item => item.count > 0)
    .map(({placement, count}) => ({
      service,
      failureDomain: placement.failureDomain,
      machineClass: placement.machineClass,
      market: placement.market,
      count,
    }));
}

function toHostPlan(
  allocations: readonly Allocation[],
  wanted: readonly WantedHosts[],
  replicas: number,
): HostPlan {
  const replicasAfterLoss = replicasAfterDomainLoss(allocations);
  return {
    wanted,
    costPerHour: sum(
      allocations.map(({placement, count}) => placement.pricePerHour * count),
    ),
    replicasAfterLoss,
    shortfall:
      replicasAfterLoss >= replicas
        ? undefined
        : `the loss of a failure domain would leave ${replicasAfterLoss} of ${replicas} replicas`,
  };
}

function emptyPlan(replicas: number): HostPlan {
  return {
    wanted: [],
    costPerHour: 0,
    replicasAfterLoss: 0,
    shortfall:
      replicas === 0
        ? undefined
        : 'no failure domain offers the class of machines',
  };
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}
