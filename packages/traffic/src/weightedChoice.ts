/** Which of a route's services takes a request. */
import {hashFraction} from '@skylarkfield/base';
import type {WeightedService} from './contracts.js';

/**
 * Chooses by weight from a key, the same at every entry, so that a request that
 * is sent again meets the same service.
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
  let rest = hashFraction(key) * total;
  for (const {service, weight} of services) {
    rest -= weight;
    if (rest < 0) {
      return service;
    }
  }
  return services.at(-1)?.service;
}
