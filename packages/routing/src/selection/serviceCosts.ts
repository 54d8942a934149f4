/** Cost models of all services, each with the weights that apply to it. */
import {
  createRouteCosts,
  type RouteCosts,
  type RouteWeights,
} from './routeCosts.js';

/** Returns overrides of the weights for one service. */
export type WeightOverrides = (
  service: string,
) => Partial<RouteWeights> | undefined;

export interface ServiceCosts {
  /** Returns the weights of a service, with its current overrides applied. */
  weightsOf(service: string): RouteWeights;
  /** Returns the cost model of a service; the first call creates it. */
  costsOf(service: string): RouteCosts;
  dump(): Readonly<Record<string, unknown>>;
}

/**
 * Creates the cost models; `weightOverrides` is called at each use of weights.
 *
 * @example
 * const serviceCosts = createServiceCosts(weights, service => overrides);
 * const costs = serviceCosts.costsOf('chat');
 */
export function createServiceCosts(
  weights: RouteWeights,
  weightOverrides: WeightOverrides,
): ServiceCosts {
  const costsByService = new Map<string, RouteCosts>();
  /** Cached, so that weights are merged only when the overrides change. */
  const mergedWeightsByService = new Map<
    string,
    {overrides: Partial<RouteWeights>; merged: RouteWeights}
  >();

  function weightsOf(service: string): RouteWeights {
    const overrides = weightOverrides(service);
    if (overrides === undefined) {
      return weights;
    }
    const lastMerge = mergedWeightsByService.get(service);
    if (lastMerge?.overrides === overrides) {
      return lastMerge.merged;
    }
    const merged = {...weights, ...overrides};
    mergedWeightsByService.set(service, {overrides, merged});
    return merged;
  }

  return {
    weightsOf,
    costsOf(service) {
      const existing = costsByService.get(service);
      if (existing !== undefined) {
        return existing;
      }
      const costs = createRouteCosts(() => weightsOf(service));
      costsByService.set(service, costs);
      return costs;
    },
    dump: () =>
      Object.fromEntries(
        [...costsByService].map(([service, costs]) => [service, costs.dump()]),
      ),
  };
}
