/** Chooses endpoints by expected wait, cached prefix and health. */
import type {Clock, DecisionLog, Random} from '@skylarkfield/base';
import {BLOCK_TOKENS, type AttemptResult} from '@skylarkfield/endpoints';
import {favoursFor} from './affinity.js';
import type {Choice, RoutingRequest, Router} from './contracts.js';
import {doubtedByDomain, ejectionReason} from './ejection.js';
import {createEndpointPools, type KnownEndpoint} from './endpointPool.js';
import {tokensAhead} from './loadView.js';
import {createPopularity, type Popularity} from './popularity.js';
import type {RequestLimits} from './requestLimits.js';
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
  /** The failure domain of this entry. */
  readonly failureDomain: string;
  /** Id of this entry. */
  readonly self: string;
  /** Tells this entry's attempts from others in load reports; by id prefix when not given. */
  readonly isOwn?: (attempt: string) => boolean;
  readonly weights?: Partial<RouteWeights>;
  /** Weights of one service that go before the others; asked for at each choice. */
  weightsOf?(service: string): Partial<RouteWeights> | undefined;
  /** Limits that endpoints have named; none when absent. */
  readonly limits?: Pick<RequestLimits, 'mayTake' | 'take' | 'waitMs'>;
  /** Tokens that each of a routing request's blocks stands for; the engines' own blocks when not given. */
  readonly blockTokens?: number;
}

/** Share of requests that go to an endpoint which waits to be probed: short prompts, and long ones. */
const PROBE_SHARE = 0.3;
const LONG_PROBE_SHARE = 0.03;
/** Prompt tokens to compute from which on a request is a costly probe. */
const LONG_PROBE_TOKENS = 512;
/** Expected milliseconds below which a latency says nothing about slowness. */
const MIN_EXPECTED_MS = 40;
const PERCENT = 100;
/** Time after which to try again where other entries hold an endpoint's limit, in milliseconds. */
const ELSEWHERE_MS = 300;
/** Urgency of a request that names none, in the middle of ten. */
const DEFAULT_URGENCY = 5;

/** Where a prompt's prefix belongs. */
interface PrefixPlace {
  /** Tokens of the start that all endpoints have to serve anyway. */
  readonly sharedTokens: number;
  /** How much the endpoints are favoured for what follows, alike at every entry. */
  readonly favours: ReadonlyMap<string, number>;
}

interface Scored {
  readonly endpoint: KnownEndpoint;
  readonly cachedTokens: number;
  readonly score: number;
}

/** The endpoints that have the fewest requests. */
function leastUsed(
  endpoints: readonly KnownEndpoint[],
): readonly KnownEndpoint[] {
  const counts = endpoints.map(({load}) => load.estimate().requests);
  const least = Math.min(...counts);
  return endpoints.filter((_, index) => counts[index] === least);
}

/**
 * Makes a router that knows no endpoint yet.
 *
 * @example
 * const router = createRouter({clock, random, decisions, failureDomain: 'a', self: 'e1'});
 * router.setEndpoints(candidates);
 * const choice = router.choose(routingRequest);
 */
export function createRouter(options: RouterOptions): Router {
  const {clock, random, decisions, failureDomain, self, limits} = options;
  const blockTokens = options.blockTokens ?? BLOCK_TOKENS;
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
  /** Merged once for each answer of `weightsOf`, not at each endpoint that is weighed. */
  const mergedWeights = new Map<
    string,
    {own: Partial<RouteWeights>; merged: RouteWeights}
  >();
  const popularityByService = new Map<string, Popularity>();
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

  function popularityOf(service: string): Popularity {
    const popularity = popularityByService.get(service) ?? createPopularity();
    popularityByService.set(service, popularity);
    return popularity;
  }

  /** Endpoints that may get the request; those aside only when no other is left. */
  function usable(routingRequest: RoutingRequest): readonly KnownEndpoint[] {
    const present = pools
      .of(routingRequest.service, routingRequest.version)
      .filter(
        ({candidate, health}) =>
          health.state !== 'leaving' &&
          !routingRequest.excluded.has(candidate.id) &&
          limits?.mayTake(candidate.id) !== false,
      );
    const admitting = present.filter(({health}) => health.admits());
    if (admitting.length > 0 || present.length === 0) {
      return admitting;
    }
    totals.forced += 1;
    return present;
  }

  function score(
    endpoint: KnownEndpoint,
    routingRequest: RoutingRequest,
    costs: RouteCosts,
    place: PrefixPlace,
  ): Scored {
    const {candidate, cache, load} = endpoint;
    const cachedTokens = Math.min(
      routingRequest.promptTokens,
      cache.expectedTokens(routingRequest.blocks),
    );
    const sharedTokens = Math.max(0, place.sharedTokens - cachedTokens);
    const ownTokens = routingRequest.promptTokens - cachedTokens - sharedTokens;
    let total = costs.score(
      load.estimate(),
      ownTokens,
      sharedTokens,
      place.favours.get(candidate.id) ?? 0,
    );
    total += random.next() * weights.spreadMs;
    if (candidate.failureDomain !== failureDomain) {
      total += weights.ownDomainMs;
    }
    return {endpoint, cachedTokens, score: total};
  }

  /** Where a prefix belongs by hash, beyond what all endpoints have to serve. */
  function placePrefix(
    routingRequest: RoutingRequest,
    candidates: readonly KnownEndpoint[],
  ): PrefixPlace {
    const {blocks} = routingRequest;
    if (blocks.length === 0) {
      return {sharedTokens: 0, favours: new Map()};
    }
    const popularity = popularityOf(routingRequest.service);
    const shared = popularity.sharedBlocks(blocks, candidates.length);
    const favours = favoursFor(
      blocks[shared] ?? blocks.at(-1)!,
      candidates.map(({candidate}) => candidate.id),
    );
    return {sharedTokens: shared * blockTokens, favours};
  }

  function pick(
    routingRequest: RoutingRequest,
    candidates: readonly KnownEndpoint[],
  ): Scored | undefined {
    const costs = costsOf(routingRequest.service);
    const place = placePrefix(routingRequest, candidates);
    let best: Scored | undefined;
    for (const endpoint of candidates) {
      const scored = score(endpoint, routingRequest, costs, place);
      if (best === undefined || scored.score < best.score) {
        best = scored;
      }
    }
    return best;
  }

  function probeTarget(
    routingRequest: RoutingRequest,
    candidates: readonly KnownEndpoint[],
  ): KnownEndpoint[] | undefined {
    const waiting = candidates.filter(({health}) => health.wantsProbe());
    const [first] = waiting;
    if (first === undefined) {
      return undefined;
    }
    const cached = first.cache.expectedTokens(routingRequest.blocks);
    const isLong = routingRequest.promptTokens - cached > LONG_PROBE_TOKENS;
    if (!random.chance(isLong ? LONG_PROBE_SHARE : PROBE_SHARE)) {
      return undefined;
    }
    totals.probes += 1;
    return [first];
  }

  function judge(endpoint: KnownEndpoint) {
    const {candidate, health} = endpoint;
    const pool = pools.of(candidate.service, candidate.version);
    const lost = health.figures.unreachableInRow > 0;
    const reason =
      health.state === 'live' ? ejectionReason(endpoint, pool) : undefined;
    if (reason !== undefined) {
      const {failuresInRow, failureRate, slowness} = health.figures;
      decisions.note('routing', candidate.id, 'eject', reason, {
        failuresInRow,
        failurePercent: Math.round(failureRate * PERCENT),
        slowness: Math.round(slowness * PERCENT) / PERCENT,
      });
      totals.ejections += 1;
      health.eject();
    }
    if (!lost) {
      return;
    }
    for (const other of doubtedByDomain(endpoint, pool)) {
      decisions.note(
        'routing',
        other.candidate.id,
        'probe first',
        `its failure domain ${candidate.failureDomain} looks lost`,
      );
      other.health.doubt();
    }
  }

  /** Tokens as far as they take an engine's time: shared parts that are thought to be read again mostly are cached after all. */
  function pendingOf(routingRequest: RoutingRequest, uncached: number): number {
    const {service, ownTokens = uncached} = routingRequest;
    const own = Math.min(uncached, ownTokens);
    const part = weightsFor(service).rereadPart ?? 1;
    return own + (uncached - own) * part;
  }

  function open(routingRequest: RoutingRequest, scored: Scored): Choice {
    const {endpoint, cachedTokens} = scored;
    const {candidate, cache, health, load} = endpoint;
    const costs = costsOf(routingRequest.service);
    const uncached = Math.max(0, routingRequest.promptTokens - cachedTokens);
    const before = load.estimate();
    const expectedMs = costs.firstTokenMs(before, uncached);
    const urgency = routingRequest.urgency ?? DEFAULT_URGENCY;
    const own = load.add(
      pendingOf(routingRequest, uncached),
      routingRequest.promptTokens,
      urgency,
    );
    const startMs = clock.now();
    let isFinished = false;
    cache.noteSent(routingRequest.blocks);
    popularityOf(routingRequest.service).note(routingRequest.blocks);
    health.noteSent();
    limits?.take(candidate.id);
    totals.choices += 1;

    function finish(result: AttemptResult) {
      if (isFinished) {
        return;
      }
      isFinished = true;
      load.remove(own);
      if (result.cachedTokens !== undefined) {
        cache.noteFound(routingRequest.blocks, result.cachedTokens);
      }
      const slowness = result.latencyMs / Math.max(MIN_EXPECTED_MS, expectedMs);
      health.note(result.outcome, slowness);
      if (result.outcome === 'ok') {
        costs.observeStay(clock.now() - startMs);
        costs.observeFirstToken(
          before.pendingTokens + uncached,
          result.latencyMs,
        );
      }
      judge(endpoint);
    }

    return {
      endpoint: candidate.id,
      cachedTokens,
      loadBefore: before,
      tokensAhead: tokensAhead(before, urgency),
      started(found) {
        own.pendingTokens = Math.max(0, routingRequest.promptTokens - found);
        cache.noteFound(routingRequest.blocks, found);
      },
      streaming() {
        own.pendingTokens = 0;
      },
      finish,
    };
  }

  return {
    setEndpoints: endpoints => pools.setEndpoints(endpoints),
    setEntries: entries => pools.setEntries(entries),
    markLeaving(endpoint) {
      if (!pools.leaving().includes(endpoint)) {
        decisions.note('routing', endpoint, 'no new work', 'it leaves');
      }
      pools.markLeaving(endpoint);
    },
    markReturned: endpoint => pools.markReturned(endpoint),
    choose(routingRequest) {
      const all = usable(routingRequest);
      const candidates = routingRequest.isSuspected ? leastUsed(all) : all;
      const scored = pick(
        routingRequest,
        probeTarget(routingRequest, candidates) ?? candidates,
      );
      return scored === undefined ? undefined : open(routingRequest, scored);
    },
    limitWaitMs(service) {
      const limited = pools
        .all()
        .map(({candidate}) => candidate)
        .filter(
          candidate =>
            candidate.service === service &&
            limits?.mayTake(candidate.id) === false,
        );
      return limited.length === 0
        ? undefined
        : Math.min(
            ...limited.map(({id}) => limits?.waitMs(id) ?? ELSEWHERE_MS),
          );
    },
    cachedTokens(service, version, blocks) {
      const counts = pools
        .of(service, version)
        .filter(({health}) => health.state === 'live')
        .map(({cache}) => cache.expectedTokens(blocks));
      return Math.max(0, ...counts);
    },
    reportLoad(endpoint, report) {
      const known = pools.get(endpoint);
      known?.load.report(report);
      known?.health.noteReport();
    },
    ownLoads: () =>
      Object.fromEntries(
        pools
          .all()
          .filter(({load}) => load.own > 0)
          .map(({candidate, load}) => [candidate.id, load.ownLoad()]),
      ),
    reportEntry(entry, loads) {
      for (const {candidate, load} of pools.all()) {
        load.reportEntry(entry, loads[candidate.id]);
      }
    },
    reportUnreachable(endpoint) {
      const known = pools.get(endpoint);
      if (known?.health.state === 'live') {
        known.health.note('unreachable', 1);
        judge(known);
      }
    },
    reportCache: (endpoint, events) =>
      pools.get(endpoint)?.cache.apply(events) ?? -1,
    held: () => pools.all().map(({candidate}) => candidate),
    slots(service) {
      const held = pools
        .all()
        .filter(
          ({candidate, health}) =>
            candidate.service === service && health.state !== 'leaving',
        );
      const sum = held
        .filter(({health}) => health.state !== 'ejected')
        .reduce((total, {load}) => total + load.estimate().slots, 0);
      const share = held.length / Math.max(1, pools.countListed(service));
      return share === 0 ? 0 : Math.round(sum / Math.min(1, share));
    },
    dump: () => ({
      totals: {...totals},
      costs: Object.fromEntries(
        [...costsByService].map(([service, costs]) => [service, costs.dump()]),
      ),
      leaving: pools.leaving(),
      endpoints: pools.all().map(({candidate, health, load, cache}) => ({
        ...candidate,
        health: health.state,
        figures: {...health.figures},
        load: load.dump(),
        cache: cache.dump(),
      })),
    }),
  };
}
