/** Chooses one of a route's services for a request. */
import {hashFraction} from '@skylarkfield/base';
import type {WeightedService} from './contracts.js';

/**
 * Chooses a service by weight and the hash of a key. The choice is the same at
 * every entry, so that a resent request reaches the same service.
 *
 * @example
 * const service = chooseService(route.services, requestId);
 */
export function chooseService(
  services: readonly WeightedService[],
  key: string,
): string | undefined {
  if (services.length <= 1) {
    return services[0]?.service;
  }
  const total = services.reduce((sum, {weight}) => sum + weight, 0);
  let remaining = hashFraction(key) * total;
  for (const {service, weight} of services) {
    remaining -= weight;
    if (remaining < 0) {
      return service;
    }
  }
  return services.at(-1)?.service;
}
