/** Router: chooses endpoints by expected wait, cached prefix and health. */
import type {Clock, DecisionLog, Random} from '@skylarkfield/base';
import {TOKENS_PER_BLOCK, type AttemptResult} from '@skylarkfield/endpoints';
import type {Choice, RoutingRequest, Router} from './contracts.js';
import {isInRegions, leastLoaded} from './selection/endpointFilters.js';
import {shortestWaitMs, type EndpointLimits} from './limits/endpointLimits.js';
import {createEndpointPools, type PooledEndpoint} from './endpointPool.js';
import {
  createEndpointRanking,
  type ScoredEndpoint,
} from './selection/endpointRanking.js';
import {tokensAhead} from './selection/loadSums.js';
import {createOutlierDetector} from './health/outlierDetector.js';
import {
  defaultRouteWeights,
  type RouteWeights,
} from './selection/routeCosts.js';
import {createServiceCosts} from './selection/serviceCosts.js';

export interface RouterOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly decisions: DecisionLog;
  /** Failure domain of this entry. */
  readonly failureDomain: string;
  /** Id of this entry. */
  readonly self: string;
  /**
   * Returns whether this entry made the attempt with this id. By default,
   * attempt ids start with the id of their entry and a hyphen.
   */
  readonly isOwnAttempt?: (attempt: string) => boolean;
  readonly weights?: Partial<RouteWeights>;
  /** Returns overrides of `weights` for one service; called at each choice. */
  weightOverrides?(service: string): Partial<RouteWeights> | undefined;
  /**
   * Whether this entry uses all endpoints of a service, however many they are;
   * false by default.
   */
  usesAllEndpoints?(service: string): boolean;
  /** Limits on the requests to single endpoints; none when absent. */
  readonly endpointLimits?: EndpointLimits;
  /** Prompt tokens per block; the engines' block size when absent. */
  readonly blockTokens?: number;
}

/** Probabilities that a short request and a long request serve as a probe. */
const PROBE_PROBABILITY = 0.3;
const LONG_PROBE_PROBABILITY = 0.03;
/** Uncached prompt tokens above which a request counts as long. */
const LONG_PROBE_TOKENS = 512;
/**
 * Lower bound of the expected latency by which an actual latency is divided,
 * since ratios to a lower latency are unreliable.
 */
const MIN_EXPECTED_LATENCY_MS = 40;
/** Urgency of a request that declares none: the middle of 0 to 9. */
const DEFAULT_URGENCY = 5;

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
  const {clock, random, decisions, failureDomain, self, endpointLimits} =
    options;
  const blockTokens = options.blockTokens ?? TOKENS_PER_BLOCK;
  const weights = {...defaultRouteWeights, ...options.weights};
  const isOwnAttempt =
    options.isOwnAttempt ??
    ((attempt: string) => attempt.startsWith(`${self}-`));
  const pools = createEndpointPools({
    clock,
    random,
    self,
    isOwnAttempt,
    blockTokens,
    usesAllEndpoints: service => options.usesAllEndpoints?.(service) ?? false,
  });
  const serviceCosts = createServiceCosts(weights, service =>
    options.weightOverrides?.(service),
  );
  const ranking = createEndpointRanking({
    clock,
    random,
    failureDomain,
    blockTokens,
    weights,
    serviceCosts,
  });
  const outlierDetector = createOutlierDetector(pools, decisions);
  const totals = {choices: 0, probes: 0, forced: 0};

  function isPermitted(
    {candidate, health}: PooledEndpoint,
    {regions, excluded}: RoutingRequest,
  ): boolean {
    return (
      health.state !== 'leaving' &&
      isInRegions(candidate, regions) &&
      !excluded.has(candidate.id) &&
      endpointLimits?.allowsRequest(candidate.id) !== false
    );
  }

  /**
   * Returns the endpoints that the request may be sent to. Endpoints that are
   * too unhealthy for requests are included only if no healthy endpoint is
   * left.
   */
  function selectUsableEndpoints(
    routingRequest: RoutingRequest,
  ): readonly PooledEndpoint[] {
    const permittedEndpoints: PooledEndpoint[] = [];
    const availableEndpoints: PooledEndpoint[] = [];
    for (const endpoint of pools.endpointsOf(
      routingRequest.service,
      routingRequest.version,
    )) {
      if (isPermitted(endpoint, routingRequest)) {
        permittedEndpoints.push(endpoint);
        if (endpoint.health.allowsRequest()) {
          availableEndpoints.push(endpoint);
        }
      }
    }
    if (availableEndpoints.length > 0 || permittedEndpoints.length === 0) {
      return availableEndpoints;
    }
    totals.forced += 1;
    return permittedEndpoints;
  }

  function preferredEndpoint(
    {preferred}: RoutingRequest,
    candidates: readonly PooledEndpoint[],
  ): PooledEndpoint[] | undefined {
    if (preferred === undefined) {
      return undefined;
    }
    const endpoint = candidates.find(
      ({candidate}) => candidate.id === preferred,
    );
    return endpoint && [endpoint];
  }

  function pickProbeTarget(
    routingRequest: RoutingRequest,
    candidates: readonly PooledEndpoint[],
  ): PooledEndpoint[] | undefined {
    const target = candidates.find(({health}) => health.needsProbe());
    if (target === undefined) {
      return undefined;
    }
    const cached = target.cache.expectedCachedTokens(routingRequest.blocks);
    const isLong = routingRequest.promptTokens - cached > LONG_PROBE_TOKENS;
    if (!random.chance(isLong ? LONG_PROBE_PROBABILITY : PROBE_PROBABILITY)) {
      return undefined;
    }
    totals.probes += 1;
    return [target];
  }

  /**
   * Returns the prompt tokens expected to be computed. Most shareable tokens
   * that seem uncached prove to be cached.
   */
  function expectedPendingTokens(
    routingRequest: RoutingRequest,
    uncachedTokens: number,
  ): number {
    const {service, ownTokens = uncachedTokens} = routingRequest;
    const ownUncached = Math.min(uncachedTokens, ownTokens);
    const recomputedShare =
      serviceCosts.weightsOf(service).recomputedTokenShare ?? 1;
    return ownUncached + (uncachedTokens - ownUncached) * recomputedShare;
  }

  function startAttempt(
    routingRequest: RoutingRequest,
    scored: ScoredEndpoint,
  ): Choice {
    const {endpoint, cachedTokens} = scored;
    const {candidate, cache, health, load} = endpoint;
    const costs = serviceCosts.costsOf(routingRequest.service);
    const uncachedTokens = Math.max(
      0,
      routingRequest.promptTokens - cachedTokens,
    );
    const loadBefore = load.estimate();
    const expectedMs = costs.expectedFirstTokenMs(loadBefore, uncachedTokens);
    const urgency = routingRequest.urgency ?? DEFAULT_URGENCY;
    const ownRequest = load.addRequest(
      expectedPendingTokens(routingRequest, uncachedTokens),
      routingRequest.promptTokens,
      urgency,
    );
    const startMs = clock.now();
    let latencySlowness = load.slowness();
    let hasFirstToken = false;
    let isFinished = false;
    cache.recordSentBlocks(routingRequest.blocks);
    ranking.recordRequest(routingRequest);
    health.recordRequestSent();
    endpointLimits?.consumeToken(candidate.id);
    totals.choices += 1;

    /** Reports of the host's slowness before and after its work both count. */
    function recordSlowness() {
      latencySlowness = Math.max(latencySlowness, load.slowness());
    }

    function finish(result: AttemptResult) {
      if (isFinished) {
        return;
      }
      isFinished = true;
      load.removeRequest(ownRequest);
      if (result.cachedTokens !== undefined) {
        cache.recordCachedTokens(routingRequest.blocks, result.cachedTokens);
      }
      if (!hasFirstToken) {
        recordSlowness();
      }
      const usualLatencyMs = result.latencyMs / latencySlowness;
      const latencyRatio =
        usualLatencyMs / Math.max(MIN_EXPECTED_LATENCY_MS, expectedMs);
      health.recordOutcome(result.outcome, latencyRatio);
      if (result.outcome === 'ok') {
        const delayMs = result.latencyMs - usualLatencyMs;
        costs.recordDuration(clock.now() - startMs - delayMs);
        costs.recordFirstToken(
          loadBefore.pendingTokens + uncachedTokens,
          usualLatencyMs,
        );
      }
      outlierDetector.evaluate(endpoint);
    }

    return {
      endpoint: candidate.id,
      cachedTokens,
      loadBefore,
      tokensAhead: tokensAhead(loadBefore, urgency),
      slowness: load.slowness,
      recordStart(reportedCachedTokens) {
        load.setPendingTokens(
          ownRequest,
          Math.max(0, routingRequest.promptTokens - reportedCachedTokens),
        );
        cache.recordCachedTokens(routingRequest.blocks, reportedCachedTokens);
      },
      recordFirstToken() {
        load.setPendingTokens(ownRequest, 0);
        hasFirstToken = true;
        recordSlowness();
      },
      finish,
    };
  }

  return {
    setEndpoints: endpoints => pools.setEndpoints(endpoints),
    setEntries: entries => pools.setEntries(entries),
    markLeaving(endpoint) {
      if (!pools.leavingEndpointIds().includes(endpoint)) {
        decisions.recordDecision('routing', endpoint, 'no new work', 'leaving');
      }
      pools.markLeaving(endpoint);
    },
    unmarkLeaving: endpoint => pools.unmarkLeaving(endpoint),
    choose(routingRequest) {
      const all = selectUsableEndpoints(routingRequest);
      const candidates = routingRequest.isSuspected ? leastLoaded(all) : all;
      const scored = ranking.pickBest(
        routingRequest,
        preferredEndpoint(routingRequest, candidates) ??
          pickProbeTarget(routingRequest, candidates) ??
          candidates,
      );
      return scored === undefined
        ? undefined
        : startAttempt(routingRequest, scored);
    },
    rateLimitWaitMs: service =>
      endpointLimits &&
      shortestWaitMs(
        endpointLimits,
        pools
          .all()
          .filter(
            ({candidate, health}) =>
              candidate.service === service && health.state !== 'leaving',
          )
          .map(({candidate}) => candidate.id),
      ),
    cachedTokens(service, version, blocks) {
      const cachedTokenCounts = pools
        .endpointsOf(service, version)
        .filter(({health}) => health.state === 'live')
        .map(({cache}) => cache.expectedCachedTokens(blocks));
      return Math.max(0, ...cachedTokenCounts);
    },
    recordLoadReport(endpoint, report) {
      const pooledEndpoint = pools.get(endpoint);
      pooledEndpoint?.load.recordReport(report);
      pooledEndpoint?.health.recordReport();
    },
    ownRequestsAt: endpoint => pools.get(endpoint)?.load.ownRequestCount ?? 0,
    ownLoads: () =>
      Object.fromEntries(
        pools
          .all()
          .filter(({load}) => load.ownRequestCount > 0)
          .map(({candidate, load}) => [candidate.id, load.ownLoad()]),
      ),
    recordEntryLoads: pools.recordEntryLoads,
    forgiveFailures(service) {
      pools
        .all()
        .filter(({candidate}) => candidate.service === service)
        .forEach(({health}) => health.forgive());
    },
    recordUnreachable(endpoint) {
      const pooledEndpoint = pools.get(endpoint);
      if (pooledEndpoint?.health.state === 'live') {
        pooledEndpoint.health.recordOutcome('unreachable', 1);
        outlierDetector.evaluate(pooledEndpoint);
      }
    },
    applyCacheEvents: (endpoint, events) =>
      pools.get(endpoint)?.cache.applyEvents(events) ?? -1,
    assignedEndpoints: () => pools.all().map(({candidate}) => candidate),
    slots(service) {
      const assigned = pools
        .all()
        .filter(
          ({candidate, health}) =>
            candidate.service === service && health.state !== 'leaving',
        );
      const slots = assigned
        .filter(({health}) => health.state !== 'ejected')
        .reduce((total, {load}) => total + load.estimate().slots, 0);
      // Extrapolates to the endpoints that are assigned to other entries only.
      const share = assigned.length / Math.max(1, pools.countListed(service));
      return share === 0 ? 0 : Math.round(slots / Math.min(1, share));
    },
    dump: () => ({
      totals: {...totals, ejections: outlierDetector.ejectionCount()},
      costs: serviceCosts.dump(),
      leaving: pools.leavingEndpointIds(),
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
