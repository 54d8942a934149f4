/** Router: chooses endpoints by expected wait, cached prefix and health. */
import type {Clock, DecisionLog, Random} from '@skylarkfield/base';
import {TOKENS_PER_BLOCK, type AttemptResult} from '@skylarkfield/endpoints';
import {affinitiesFor} from './affinity.js';
import type {Choice, RoutingRequest, Router} from './contracts.js';
import {liveEndpointsOfLostDomain, ejectionReason} from './ejection.js';
import {createEndpointPools, type PooledEndpoint} from './endpointPool.js';
import {tokensAhead} from './loadView.js';
import {createPrefixPopularity, type PrefixPopularity} from './popularity.js';
import type {RateLimits} from './rateLimits.js';
import {
  createRouteCosts,
  defaultRouteWeights,
  type RouteCosts,
  type RouteWeights,
} from './routeCosts.js';

export interface RouterOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly decisions: DecisionLog;
  /** Failure domain of this entry. */
  readonly failureDomain: string;
  /** Id of this entry. */
  readonly self: string;
  /** Whether an attempt is this entry's; by id prefix when absent. */
  readonly isOwn?: (attempt: string) => boolean;
  readonly weights?: Partial<RouteWeights>;
  /** Overrides of `weights` for one service; read at each choice. */
  weightsOf?(service: string): Partial<RouteWeights> | undefined;
  /** Rate limits set by endpoints; none when absent. */
  readonly rateLimits?: Pick<
    RateLimits,
    'allowsRequest' | 'consume' | 'waitMs'
  >;
  /** Prompt tokens per block; the engines' block size when absent. */
  readonly blockTokens?: number;
}

/** Probability that a request is used as a probe, if short and if long. */
const PROBE_SHARE = 0.3;
const LONG_PROBE_SHARE = 0.03;
/** Uncached prompt tokens above which a request counts as long. */
const LONG_PROBE_TOKENS = 512;
/** Lower bound of expected latency: ratios to shorter ones are unreliable. */
const MIN_EXPECTED_LATENCY_MS = 40;
const PERCENT = 100;
/** Milliseconds to wait when this entry has no share of the rate limit. */
const NO_SHARE_RETRY_MS = 300;
/** Urgency of a request that sets none: the middle of 0 to 9. */
const DEFAULT_URGENCY = 5;

/** Preferred placement of a prompt's prefix. */
interface PrefixPlacement {
  /** Leading tokens shared by so much traffic that all endpoints serve them. */
  readonly sharedTokens: number;
  /** Affinity of endpoints for the remainder, the same at every entry. */
  readonly affinities: ReadonlyMap<string, number>;
}

interface ScoredEndpoint {
  readonly endpoint: PooledEndpoint;
  readonly cachedTokens: number;
  readonly score: number;
}

/** Returns the endpoints with the fewest requests. */
function leastLoaded(
  endpoints: readonly PooledEndpoint[],
): readonly PooledEndpoint[] {
  const counts = endpoints.map(({load}) => load.estimate().requests);
  const least = Math.min(...counts);
  return endpoints.filter((_, index) => counts[index] === least);
}

/**
 * Creates a router without endpoints.
 *
 * @example
 * const router = createRouter({
 *   clock, random, decisions, failureDomain: 'a', self: 'e1',
 * });
 * router.setEndpoints(candidates);
 * const choice = router.choose(routingRequest);
 */
export function createRouter(options: RouterOptions): Router {
  const {clock, random, decisions, failureDomain, self, rateLimits} = options;
  const blockTokens = options.blockTokens ?? TOKENS_PER_BLOCK;
  const weights = {...defaultRouteWeights, ...options.weights};
  const isOwn =
    options.isOwn ?? ((attempt: string) => attempt.startsWith(`${self}-`));
  const pools = createEndpointPools({
    clock,
    random,
    self,
    isOwn,
    blockTokens,
  });
  const costsByService = new Map<string, RouteCosts>();
  /** Merged once per object from `weightsOf`, not per scored endpoint. */
  const mergedWeights = new Map<
    string,
    {own: Partial<RouteWeights>; merged: RouteWeights}
  >();
  const popularityByService = new Map<string, PrefixPopularity>();
  const totals = {choices: 0, probes: 0, forced: 0, ejections: 0};

  function weightsFor(service: string): RouteWeights {
    const own = options.weightsOf?.(service);
    if (own === undefined) {
      return weights;
    }
    const last = mergedWeights.get(service);
    if (last?.own === own) {
      return last.merged;
    }
    const merged = {...weights, ...own};
    mergedWeights.set(service, {own, merged});
    return merged;
  }

  function costsOf(service: string): RouteCosts {
    const known = costsByService.get(service);
    if (known !== undefined) {
      return known;
    }
    const costs = createRouteCosts(() => weightsFor(service));
    costsByService.set(service, costs);
    return costs;
  }

  function popularityOf(service: string): PrefixPopularity {
    const popularity =
      popularityByService.get(service) ?? createPrefixPopularity();
    popularityByService.set(service, popularity);
    return popularity;
  }

  /** Returns available endpoints; ejected ones only if none is available. */
  function usableEndpoints(
    routingRequest: RoutingRequest,
  ): readonly PooledEndpoint[] {
    const present = pools
      .endpointsOf(routingRequest.service, routingRequest.version)
      .filter(
        ({candidate, health}) =>
          health.state !== 'leaving' &&
          !routingRequest.excluded.has(candidate.id) &&
          rateLimits?.allowsRequest(candidate.id) !== false,
      );
    const available = present.filter(({health}) => health.allowsRequest());
    if (available.length > 0 || present.length === 0) {
      return available;
    }
    totals.forced += 1;
    return present;
  }

  function score(
    endpoint: PooledEndpoint,
    routingRequest: RoutingRequest,
    costs: RouteCosts,
    placement: PrefixPlacement,
  ): ScoredEndpoint {
    const {candidate, cache, load} = endpoint;
    const cachedTokens = Math.min(
      routingRequest.promptTokens,
      cache.expectedCachedTokens(routingRequest.blocks),
    );
    const sharedTokens = Math.max(0, placement.sharedTokens - cachedTokens);
    const unsharedTokens =
      routingRequest.promptTokens - cachedTokens - sharedTokens;
    let total = costs.score(
      load.estimate(),
      unsharedTokens,
      sharedTokens,
      placement.affinities.get(candidate.id) ?? 0,
    );
    total += random.next() * weights.jitterMs;
    if (candidate.failureDomain !== failureDomain) {
      total += weights.crossDomainMs;
    }
    return {endpoint, cachedTokens, score: total};
  }

  /** Computes affinities by hash of the prefix beyond its shared part. */
  function placePrefix(
    routingRequest: RoutingRequest,
    candidates: readonly PooledEndpoint[],
  ): PrefixPlacement {
    const {blocks} = routingRequest;
    if (blocks.length === 0) {
      return {sharedTokens: 0, affinities: new Map()};
    }
    const popularity = popularityOf(routingRequest.service);
    const sharedCount = popularity.countSharedBlocks(blocks, candidates.length);
    const affinities = affinitiesFor(
      blocks[sharedCount] ?? blocks.at(-1)!,
      candidates.map(({candidate}) => candidate.id),
    );
    return {sharedTokens: sharedCount * blockTokens, affinities};
  }

  function pickBest(
    routingRequest: RoutingRequest,
    candidates: readonly PooledEndpoint[],
  ): ScoredEndpoint | undefined {
    const costs = costsOf(routingRequest.service);
    const placement = placePrefix(routingRequest, candidates);
    let best: ScoredEndpoint | undefined;
    for (const endpoint of candidates) {
      const scored = score(endpoint, routingRequest, costs, placement);
      if (best === undefined || scored.score < best.score) {
        best = scored;
      }
    }
    return best;
  }

  function probeTarget(
    routingRequest: RoutingRequest,
    candidates: readonly PooledEndpoint[],
  ): PooledEndpoint[] | undefined {
    const probeable = candidates.filter(({health}) => health.needsProbe());
    const [first] = probeable;
    if (first === undefined) {
      return undefined;
    }
    const cached = first.cache.expectedCachedTokens(routingRequest.blocks);
    const isLong = routingRequest.promptTokens - cached > LONG_PROBE_TOKENS;
    if (!random.chance(isLong ? LONG_PROBE_SHARE : PROBE_SHARE)) {
      return undefined;
    }
    totals.probes += 1;
    return [first];
  }

  function updateHealth(endpoint: PooledEndpoint) {
    const {candidate, health} = endpoint;
    const pool = pools.endpointsOf(candidate.service, candidate.version);
    const isUnreachable = health.stats.unreachableInRow > 0;
    const reason =
      health.state === 'live' ? ejectionReason(endpoint, pool) : undefined;
    if (reason !== undefined) {
      const {failuresInRow, failureRate, slowness} = health.stats;
      decisions.note('routing', candidate.id, 'eject', reason, {
        failuresInRow,
        failurePercent: Math.round(failureRate * PERCENT),
        slowness: Math.round(slowness * PERCENT) / PERCENT,
      });
      totals.ejections += 1;
      health.eject();
    }
    if (!isUnreachable) {
      return;
    }
    for (const other of liveEndpointsOfLostDomain(endpoint, pool)) {
      decisions.note(
        'routing',
        other.candidate.id,
        'probe first',
        `its failure domain ${candidate.failureDomain} looks lost`,
      );
      other.health.requireProbe();
    }
  }

  /** Tokens to compute; most shareable ones that seem uncached are cached. */
  function expectedPendingTokens(
    routingRequest: RoutingRequest,
    uncachedTokens: number,
  ): number {
    const {service, ownTokens = uncachedTokens} = routingRequest;
    const ownUncached = Math.min(uncachedTokens, ownTokens);
    const recomputedShare = weightsFor(service).recomputedTokenShare ?? 1;
    return ownUncached + (uncachedTokens - ownUncached) * recomputedShare;
  }

  function startAttempt(
    routingRequest: RoutingRequest,
    scored: ScoredEndpoint,
  ): Choice {
    const {endpoint, cachedTokens} = scored;
    const {candidate, cache, health, load} = endpoint;
    const costs = costsOf(routingRequest.service);
    const uncachedTokens = Math.max(
      0,
      routingRequest.promptTokens - cachedTokens,
    );
    const loadBefore = load.estimate();
    const expectedMs = costs.expectedFirstTokenMs(loadBefore, uncachedTokens);
    const urgency = routingRequest.urgency ?? DEFAULT_URGENCY;
    const ownRequest = load.add(
      expectedPendingTokens(routingRequest, uncachedTokens),
      routingRequest.promptTokens,
      urgency,
    );
    const startMs = clock.now();
    let isFinished = false;
    cache.recordSent(routingRequest.blocks);
    popularityOf(routingRequest.service).recordRequest(routingRequest.blocks);
    health.recordSent();
    rateLimits?.consume(candidate.id);
    totals.choices += 1;

    function finish(result: AttemptResult) {
      if (isFinished) {
        return;
      }
      isFinished = true;
      load.remove(ownRequest);
      if (result.cachedTokens !== undefined) {
        cache.recordCachedTokens(routingRequest.blocks, result.cachedTokens);
      }
      const latencyRatio =
        result.latencyMs / Math.max(MIN_EXPECTED_LATENCY_MS, expectedMs);
      health.recordOutcome(result.outcome, latencyRatio);
      if (result.outcome === 'ok') {
        costs.observeDuration(clock.now() - startMs);
        costs.observeFirstToken(
          loadBefore.pendingTokens + uncachedTokens,
          result.latencyMs,
        );
      }
      updateHealth(endpoint);
    }

    return {
      endpoint: candidate.id,
      cachedTokens,
      loadBefore,
      tokensAhead: tokensAhead(loadBefore, urgency),
      recordStart(foundTokens) {
        ownRequest.pendingTokens = Math.max(
          0,
          routingRequest.promptTokens - foundTokens,
        );
        cache.recordCachedTokens(routingRequest.blocks, foundTokens);
      },
      recordFirstToken() {
        ownRequest.pendingTokens = 0;
      },
      finish,
    };
  }

  return {
    setEndpoints: endpoints => pools.setEndpoints(endpoints),
    setEntries: entries => pools.setEntries(entries),
    markLeaving(endpoint) {
      if (!pools.leavingIds().includes(endpoint)) {
        decisions.note('routing', endpoint, 'no new work', 'it leaves');
      }
      pools.markLeaving(endpoint);
    },
    unmarkLeaving: endpoint => pools.unmarkLeaving(endpoint),
    choose(routingRequest) {
      const all = usableEndpoints(routingRequest);
      const candidates = routingRequest.isSuspected ? leastLoaded(all) : all;
      const scored = pickBest(
        routingRequest,
        probeTarget(routingRequest, candidates) ?? candidates,
      );
      return scored === undefined
        ? undefined
        : startAttempt(routingRequest, scored);
    },
    rateLimitWaitMs(service) {
      const limited = pools
        .all()
        .map(({candidate}) => candidate)
        .filter(
          candidate =>
            candidate.service === service &&
            rateLimits?.allowsRequest(candidate.id) === false,
        );
      return limited.length === 0
        ? undefined
        : Math.min(
            ...limited.map(
              ({id}) => rateLimits?.waitMs(id) ?? NO_SHARE_RETRY_MS,
            ),
          );
    },
    cachedTokens(service, version, blocks) {
      const counts = pools
        .endpointsOf(service, version)
        .filter(({health}) => health.state === 'live')
        .map(({cache}) => cache.expectedCachedTokens(blocks));
      return Math.max(0, ...counts);
    },
    reportLoad(endpoint, report) {
      const known = pools.get(endpoint);
      known?.load.report(report);
      known?.health.recordReport();
    },
    ownLoads: () =>
      Object.fromEntries(
        pools
          .all()
          .filter(({load}) => load.ownRequestCount > 0)
          .map(({candidate, load}) => [candidate.id, load.ownLoad()]),
      ),
    reportEntryLoads(entry, loads) {
      for (const {candidate, load} of pools.all()) {
        load.reportEntryLoad(entry, loads[candidate.id]);
      }
    },
    reportUnreachable(endpoint) {
      const known = pools.get(endpoint);
      if (known?.health.state === 'live') {
        known.health.recordOutcome('unreachable', 1);
        updateHealth(known);
      }
    },
    applyCacheEvents: (endpoint, events) =>
      pools.get(endpoint)?.cache.apply(events) ?? -1,
    assignedEndpoints: () => pools.all().map(({candidate}) => candidate),
    slots(service) {
      const assigned = pools
        .all()
        .filter(
          ({candidate, health}) =>
            candidate.service === service && health.state !== 'leaving',
        );
      const sum = assigned
        .filter(({health}) => health.state !== 'ejected')
        .reduce((total, {load}) => total + load.estimate().slots, 0);
      const share = assigned.length / Math.max(1, pools.countListed(service));
      return share === 0 ? 0 : Math.round(sum / Math.min(1, share));
    },
    dump: () => ({
      totals: {...totals},
      costs: Object.fromEntries(
        [...costsByService].map(([service, costs]) => [service, costs.dump()]),
      ),
      leaving: pools.leavingIds(),
      endpoints: pools.all().map(({candidate, health, load, cache}) => ({
        ...candidate,
        health: health.state,
        figures: {...health.stats},
        load: load.dump(),
        cache: cache.dump(),
      })),
    }),
  };
}
