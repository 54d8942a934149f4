/** How many hosts of a service to have where, at the least cost that withstands a loss. */
import type {
  Demand,
  HostPlan,
  Market,
  Offer,
  Supply,
  WantedHosts,
} from './contracts.js';

/** Time until a reclaimed host's replica is replaced: refusals, start, weights, in hours. */
const REPLACEMENT_HOURS = 0.1;
/** What an hour of a missing replica is worth in hours of its price: late answers cost customers. */
const MISSING_REPLICA_FACTOR = 5;
/** Failure domains whose reclaimable hosts one wave may take together. */
const WAVE_DOMAINS = 2;

/** One failure domain with its better market. */
interface Place {
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly market: Market;
  readonly pricePerHour: number;
  readonly onDemandPrice: number | undefined;
  readonly reclaimRate: number;
}

/** Hosts at one place. */
interface Filled {
  readonly place: Place;
  readonly count: number;
}

/**
 * Plans the hosts of one service.
 *
 * Losing the failure domain with most replicas must leave enough for the
 * latency target. Over k domains that takes `replicas / (k - 1)` spare hosts:
 * more domains need fewer spares but dearer places, so every k is priced. A
 * wave that takes the reclaimable hosts of several domains must leave
 * `minReplicas`; on-demand hosts cover what is missing.
 *
 * @example
 * const plan = planHosts(demand, offers, supplies);
 */
export function planHosts(
  demand: Demand,
  offers: readonly Offer[],
  supplies: readonly Supply[],
): HostPlan {
  const replicas = Math.min(
    Math.max(demand.replicas, demand.minReplicas),
    demand.maxReplicas,
  );
  const places = usablePlaces(demand.machineClass, offers, supplies);
  if (replicas === 0 || places.length === 0) {
    return emptyPlan(replicas);
  }
  const plans = places.map((_, index) =>
    spreadOver(places.slice(0, index + 1), replicas, demand.maxReplicas),
  );
  const best = plans
    .map(filled => withstandWave(filled, demand.minReplicas))
    .map(filled => ({filled, wanted: toWanted(demand.service, filled)}))
    .sort((a, b) => compare(a.filled, b.filled, replicas))[0];
  return describe(best!.filled, best!.wanted, replicas);
}

/** Each failure domain at the market that is cheaper once expected losses are counted. */
function usablePlaces(
  machineClass: string,
  offers: readonly Offer[],
  supplies: readonly Supply[],
): Place[] {
  const domains = new Set(offers.map(offer => offer.failureDomain));
  return [...domains]
    .flatMap(domain => placeIn(domain, machineClass, offers, supplies) ?? [])
    .sort((a, b) => expectedPrice(a) - expectedPrice(b) || byName(a, b));
}

function placeIn(
  failureDomain: string,
  machineClass: string,
  offers: readonly Offer[],
  supplies: readonly Supply[],
): Place | undefined {
  const supply = supplies.find(
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
        !supply?.isRefused(market),
    )?.pricePerHour;
  const onDemandPrice = priceOf('on-demand');
  const candidates = (['reclaimable', 'on-demand'] as const).flatMap(market => {
    const pricePerHour = priceOf(market);
    if (pricePerHour === undefined) {
      return [];
    }
    const reclaimRate =
      market === 'reclaimable' ? (supply?.reclaimRate ?? 0) : 0;
    const place: Place = {
      failureDomain,
      machineClass,
      market,
      pricePerHour,
      onDemandPrice,
      reclaimRate,
    };
    return [place];
  });
  return candidates.sort((a, b) => expectedPrice(a) - expectedPrice(b))[0];
}

/** Price with the expected cost of replicas missing after reclaims. */
function expectedPrice(place: Place): number {
  const missing =
    place.reclaimRate * REPLACEMENT_HOURS * MISSING_REPLICA_FACTOR;
  return place.pricePerHour * (1 + missing);
}

function byName(a: Place, b: Place): number {
  return a.failureDomain < b.failureDomain ? -1 : 1;
}

/** Fills the cheapest places so that all but the fullest hold the replicas. */
function spreadOver(
  places: readonly Place[],
  replicas: number,
  most: number,
): Filled[] {
  const others = Math.max(1, places.length - 1);
  const perPlace = Math.ceil(replicas / others);
  let left =
    places.length === 1 ? replicas : Math.min(replicas + perPlace, most);
  return places.map(place => {
    const count = Math.min(perPlace, left);
    left -= count;
    return {place, count};
  });
}

/** Turns reclaimable hosts into on-demand ones until a wave leaves the least number. */
function withstandWave(
  filled: readonly Filled[],
  minReplicas: number,
): Filled[] {
  const result = [...filled];
  let missing = minReplicas - survivorsOfWave(result);
  const convertible = result
    .map((item, index) => ({...item, index}))
    .filter(
      ({place}) =>
        place.market === 'reclaimable' && place.onDemandPrice !== undefined,
    )
    .sort((a, b) => premium(a.place) - premium(b.place));
  for (const {place, index, count} of convertible) {
    if (missing <= 0) {
      break;
    }
    const moved = Math.min(count, missing);
    result[index] = {place, count: count - moved};
    result.push({
      place: {
        ...place,
        market: 'on-demand',
        pricePerHour: place.onDemandPrice as number,
        reclaimRate: 0,
      },
      count: moved,
    });
    missing = minReplicas - survivorsOfWave(result);
  }
  return result;
}

function premium(place: Place): number {
  return (place.onDemandPrice ?? Infinity) - place.pricePerHour;
}

function survivorsOfWave(filled: readonly Filled[]): number {
  const reclaimable = filled
    .filter(item => item.place.market === 'reclaimable')
    .map(item => item.count)
    .sort((a, b) => b - a);
  const lost = sum(reclaimable.slice(0, WAVE_DOMAINS));
  return sum(filled.map(item => item.count)) - lost;
}

/** Plans that hold the target come first, then the cheaper. */
function compare(
  a: readonly Filled[],
  b: readonly Filled[],
  replicas: number,
): number {
  const shortA = Math.max(0, replicas - afterLoss(a));
  const shortB = Math.max(0, replicas - afterLoss(b));
  if (shortA !== shortB) {
    return shortA - shortB;
  }
  return expectedCost(a) - expectedCost(b);
}

function expectedCost(filled: readonly Filled[]): number {
  return sum(filled.map(({place, count}) => expectedPrice(place) * count));
}

/** Replicas left after the loss of the fullest failure domain, whatever the market. */
function afterLoss(filled: readonly Filled[]): number {
  const perDomain = new Map<string, number>();
  for (const {place, count} of filled) {
    const before = perDomain.get(place.failureDomain) ?? 0;
    perDomain.set(place.failureDomain, before + count);
  }
  const counts = [...perDomain.values()];
  return sum(counts) - Math.max(0, ...counts);
}

function toWanted(service: string, filled: readonly Filled[]): WantedHosts[] {
  return filled
    .filter(item => item.count > 0)
    .map(({place, count}) => ({
      service,
      failureDomain: place.failureDomain,
      machineClass: place.machineClass,
      market: place.market,
      count,
    }));
}

function describe(
  filled: readonly Filled[],
  wanted: readonly WantedHosts[],
  replicas: number,
): HostPlan {
  const replicasAfterLoss = afterLoss(filled);
  return {
    wanted,
    costPerHour: sum(
      filled.map(({place, count}) => place.pricePerHour * count),
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
      replicas === 0 ? undefined : 'no failure domain offers the class',
  };
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}
