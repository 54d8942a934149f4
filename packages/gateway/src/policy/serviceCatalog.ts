/** Looks up the properties of services in the active policy. */
import {
  fitsKvCache,
  type ModelDemand,
  type ServiceConfig,
} from '@skylarkfield/traffic';
import type {ActivePolicy} from './activePolicy.js';

export interface ServiceCatalog {
  find(service: string): ServiceConfig | undefined;
  /** Returns whether the endpoints of the service are model engines. */
  isModel(service: string): boolean;
  /** Returns whether the prompt fits into the KV cache of the service's engines. */
  fitsKvCache(service: string, demand: ModelDemand): boolean;
  /** Returns the output tokens per event of a response, 1 if unknown. */
  tokensPerEvent(service: string): number;
  /** Returns how long new endpoints warm up, in milliseconds; 0 if not at all. */
  warmUpMs(service: string): number;
}

/**
 * Creates a catalog that reads the policy at each call.
 *
 * @example
 * const services = createServiceCatalog(policy);
 * services.isModel('chat');
 */
export function createServiceCatalog(
  policy: Pick<ActivePolicy, 'services'>,
): ServiceCatalog {
  function find(service: string): ServiceConfig | undefined {
    return policy.services().find(({name}) => name === service);
  }

  return {
    find,
    isModel: service => find(service)?.engine !== undefined,
    fitsKvCache: (service, demand) =>
      fitsKvCache(demand, find(service)?.engine),
    tokensPerEvent: service => find(service)?.engine?.tokensPerEvent ?? 1,
    warmUpMs: service => find(service)?.warmUp?.durationMs ?? 0,
  };
}
