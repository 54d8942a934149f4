/** Chooses one of a route's services for a request. */
import {hashFraction} from '@skylarkfield/base';
import type {WeightedService} from './contracts.js';

/**
 * Chooses a service by weight and by the hash of a key, such as the request id.
 * Every entry chooses the same service for a key, so that a resent request
 * reaches the same service.
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
  const totalWeight = services.reduce((sum, {weight}) => sum + weight, 0);
  let remainingWeight = hashFraction(key) * totalWeight;
  for (const {service, weight} of services) {
    remainingWeight -= weight;
    if (remainingWeight < 0) {
      return service;
    }
  }
  return services.at(-1)?.service;
}
