/**
 * Chooses the endpoint of a plain service for a request: the one that is expected
 * to answer first, among those with room.
 */
import type {PlacementRequest} from './contracts.js';
import type {EndpointLoad} from './endpointLoad.js';
import type {RouteTimes} from './routeTimes.js';

export interface EndpointChoice {
  /**
   * Returns the best endpoint with room; undefined if there is none, or if its
   * host is slow for the moment and another endpoint is expected to answer sooner
   * after a wait of `waitMs()`.
   */
  choose(
    request: PlacementRequest,
    loads: Iterable<EndpointLoad>,
    waitMs: () => number,
  ): EndpointLoad | undefined;
}

/** Slowness from which waiting for another endpoint may be better. */
const SLOW = 1.5;

/** Time between an end and the next start in a slot: two messages, in ms. */
const DISPATCH_GAP_MS = 8;

/** Weight of the fraction of slots that are taken. */
const FILL_WEIGHT = 0.08;

/** Cost of another failure domain, in milliseconds. */
const REMOTE_MS = 2;

/** Maximum random cost, so that equal endpoints are used equally, in ms. */
const JITTER_MS = 1;

/**
 * Returns the endpoints that are not avoided, or all if none is left.
 *
 * @example
 * const candidates = usableEndpoints(loads.values());
 */
export function usableEndpoints(
  loads: Iterable<EndpointLoad>,
): readonly EndpointLoad[] {
  const all = [...loads];
  const notAvoided = all.filter(load => !load.isAvoided());
  return notAvoided.length > 0 ? notAvoided : all;
}

/**
 * Creates the choice among the endpoints of one service.
 *
 * @example
 * const load = endpointChoice.choose(request, loads, () => 0);
 */
export function createEndpointChoice({
  routeTimes,
  random,
}: {
  readonly routeTimes: RouteTimes;
  readonly random: {next(): number};
}): EndpointChoice {
  /**
   * Requests beyond the slots that hide the gap between an end and the next
   * start; none where requests take long.
   */
  function extraSlots({endpoint}: EndpointLoad, holdMs: number): number {
    return holdMs === 0
      ? 0
      : Math.min(
          endpoint.slots,
          Math.round((endpoint.slots * DISPATCH_GAP_MS) / holdMs),
        );
  }

  function costMs(
    load: EndpointLoad,
    {route, failureDomain}: PlacementRequest,
  ): number {
    const {firstMs, holdMs} = routeTimes.timeOf(route);
    const fill = load.running.size / load.endpoint.slots;
    return (
      firstMs * load.slowness() +
      fill * holdMs * FILL_WEIGHT +
      (load.endpoint.failureDomain === failureDomain ? 0 : REMOTE_MS) +
      random.next() * JITTER_MS
    );
  }

  return {
    choose(request, loads, waitMs) {
      const {firstMs, holdMs} = routeTimes.timeOf(request.route);
      let best: EndpointLoad | undefined;
      let bestMs = Infinity;
      let fastest = Infinity;
      for (const load of usableEndpoints(loads)) {
        fastest = Math.min(fastest, load.passingSlowness());
        if (!load.hasRoom(extraSlots(load, holdMs))) {
          continue;
        }
        const loadMs = costMs(load, request);
        if (loadMs < bestMs) {
          best = load;
          bestMs = loadMs;
        }
      }
      if (best === undefined) {
        return undefined;
      }
      const slowness = best.passingSlowness();
      const isWaitingBetter =
        slowness >= fastest * SLOW &&
        waitMs() + firstMs * fastest < firstMs * slowness;
      return isWaitingBetter ? undefined : best;
    },
  };
}
