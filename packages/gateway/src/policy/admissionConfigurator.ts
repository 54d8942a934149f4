/** Keeps admission limits in sync with the policy and the ready endpoints. */
import type {AdmissionController} from '@skylarkfield/admission';
import type {ServiceConfig} from '@skylarkfield/traffic';
import type {EndpointDirectory} from '../endpoints/endpointDirectory.js';
import type {ActivePolicy} from './activePolicy.js';

/**
 * Maximum admitted requests per endpoint slot. Endpoints queue the excess
 * requests by urgency, since only an endpoint sees the requests of all entries.
 */
const REQUESTS_PER_SLOT = 2;

/**
 * Maximum requests that an entry queues per endpoint slot of the service; more
 * requests would time out in the queue.
 */
const QUEUE_PER_SLOT = 4;

/**
 * Target latency of adaptive concurrency limits, in milliseconds; the gateway's
 * limits are fixed and do not use it.
 */
const TARGET_LATENCY_MS = 1_000;

export interface AdmissionConfigurator {
  /**
   * Recomputes the limits; must be called on each change of the endpoints, and
   * when they become or are no longer brittle.
   * Without this call, an entry that has just started would keep a limit of one
   * slot and reject requests while endpoints are idle.
   */
  update(): void;
}

/**
 * Creates the configurator, which also updates the limits on each policy
 * change.
 *
 * @example
 * const configurator = createAdmissionConfigurator({admission, directory,
 *   policy, isBrittle});
 */
export function createAdmissionConfigurator(options: {
  readonly admission: AdmissionController;
  readonly directory: EndpointDirectory;
  readonly policy: ActivePolicy;
  /** Whether the endpoints of a service must not be overfilled. */
  isBrittle(service: string): boolean;
}): AdmissionConfigurator {
  const {admission, directory, policy, isBrittle} = options;
  let configuredServices = new Set<string>();

  /** Returns the total slots of the service's ready endpoints. */
  function slotsOf({name}: ServiceConfig): number {
    const readyEndpoints = directory
      .endpointsOf(name)
      .filter(({state}) => state === 'ready');
    return readyEndpoints.reduce((sum, {slots}) => sum + slots, 0);
  }

  function update(): void {
    const services = policy.services();
    const serviceNames = new Set(services.map(({name}) => name));
    for (const name of configuredServices) {
      if (!serviceNames.has(name)) {
        admission.setService(name, undefined);
      }
    }
    configuredServices = serviceNames;
    for (const service of services) {
      const slots = Math.max(1, slotsOf(service));
      admission.setService(service.name, {
        name: service.name,
        concurrency: slots * (isBrittle(service.name) ? 1 : REQUESTS_PER_SLOT),
        queue: slots * QUEUE_PER_SLOT,
        targetMs: TARGET_LATENCY_MS,
      });
    }
  }

  policy.onDidChange(update);
  update();
  return {update};
}
