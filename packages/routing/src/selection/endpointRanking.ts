/** Ranks endpoints for a request by cost, cached prefix and prefix affinity. */
import type {Clock, Random} from '@skylarkfield/base';
import {affinitiesFor} from './affinity.js';
import type {RoutingRequest} from '../contracts.js';
import type {PooledEndpoint} from '../endpointPool.js';
import {createPrefixPopularity, type PrefixPopularity} from './popularity.js';
import type {RouteCosts, RouteWeights} from './routeCosts.js';
import type {ServiceCosts} from './serviceCosts.js';

/** An endpoint with its cost for one request. */
export interface ScoredEndpoint {
  readonly endpoint: PooledEndpoint;
  /** Prompt tokens expected to be in the endpoint's prefix cache. */
  readonly cachedTokens: number;
  /** Cost in weighted milliseconds; lower is better. */
  readonly score: number;
}

export interface EndpointRanking {
  /** Returns the endpoint with the lowest cost; undefined without candidates. */
  pickBest(
    routingRequest: RoutingRequest,
    candidates: readonly PooledEndpoint[],
  ): ScoredEndpoint | undefined;
  /** Counts the prefixes of a request that is sent to an endpoint. */
  recordRequest(routingRequest: RoutingRequest): void;
}

/** Endpoints that are preferred for a prompt's prefix. */
interface PrefixPlacement {
  /** Tokens of the prefix whose traffic is too much for one endpoint. */
  readonly sharedTokens: number;
  /** Affinity by endpoint for the tokens after it, equal at every entry. */
  readonly affinities: ReadonlyMap<string, number>;
}

/**
 * Creates a ranking that has counted no requests. `failureDomain` is that of
 * this entry.
 *
 * @example
 * const ranking = createEndpointRanking({
 *   random, failureDomain: 'a', blockTokens, weights, serviceCosts,
 * });
 * const best = ranking.pickBest(routingRequest, candidates);
 */
export function createEndpointRanking(options: {
  readonly clock: Clock;
  readonly random: Random;
  readonly failureDomain: string;
  readonly blockTokens: number;
  readonly weights: Pick<RouteWeights, 'crossDomainMs' | 'jitterMs'>;
  readonly serviceCosts: Pick<ServiceCosts, 'costsOf'>;
}): EndpointRanking {
  const {clock, random, failureDomain, blockTokens, weights, serviceCosts} =
    options;
  const popularityByService = new Map<string, PrefixPopularity>();

  function popularityOf(service: string): PrefixPopularity {
    const popularity =
      popularityByService.get(service) ?? createPrefixPopularity();
    popularityByService.set(service, popularity);
    return popularity;
  }

  /** Computes affinities from the first block after the shared prefix. */
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

  function scoreEndpoint(
    endpoint: PooledEndpoint,
    routingRequest: RoutingRequest,
    costs: RouteCosts,
    placement: PrefixPlacement,
    nowMs: number,
  ): ScoredEndpoint {
    const {candidate, cache, load} = endpoint;
    const cachedTokens = Math.min(
      routingRequest.promptTokens,
      cache.expectedCachedTokens(routingRequest.blocks),
    );
    const sharedTokens = Math.max(0, placement.sharedTokens - cachedTokens);
    const unsharedTokens =
      routingRequest.promptTokens - cachedTokens - sharedTokens;
    let costMs = costs.score(
      load.estimate(nowMs),
      unsharedTokens,
      sharedTokens,
      placement.affinities.get(candidate.id) ?? 0,
      routingRequest.promptTokens > 0,
    );
    costMs += random.next() * weights.jitterMs;
    if (candidate.failureDomain !== failureDomain) {
      costMs += weights.crossDomainMs;
    }
    return {endpoint, cachedTokens, score: costMs};
  }

  return {
    pickBest(routingRequest, candidates) {
      const costs = serviceCosts.costsOf(routingRequest.service);
      const placement = placePrefix(routingRequest, candidates);
      const nowMs = clock.now();
      let best: ScoredEndpoint | undefined;
      for (const endpoint of candidates) {
        const scored = scoreEndpoint(
          endpoint,
          routingRequest,
          costs,
          placement,
          nowMs,
        );
        if (best === undefined || scored.score < best.score) {
          best = scored;
        }
      }
      return best;
    },
    recordRequest({service, blocks}) {
      popularityOf(service).recordRequest(blocks);
    },
  };
}
