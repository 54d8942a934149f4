/** Decides which services are scheduled by one entry for all entries. */
import type {SlotShares} from '@skylarkfield/routing';
import type {EndpointDirectory} from '../endpoints/endpointDirectory.js';
import type {ActivePolicy} from '../policy/activePolicy.js';
import type {ServiceCatalog} from '../policy/serviceCatalog.js';
import type {GatewaySettings} from '../settings.js';

export interface ScheduledServices {
  has(service: string): boolean;
}

/**
 * Creates the decision from the settings, the policy and the endpoints. A
 * service is scheduled if a route to it has a latency target and its endpoints
 * have few slots: such an endpoint is full after few requests, and a request at
 * a full endpoint waits for a whole response. Endpoints that are brittle or warm
 * up have limits of their own, which each entry applies.
 *
 * @example
 * const scheduled = createScheduledServices(settings.scheduling, parts);
 * if (scheduled.has('booking')) { await scheduler.place(request); }
 */
export function createScheduledServices(
  settings: GatewaySettings['scheduling'],
  {
    policy,
    services,
    directory,
    slotShares,
  }: {
    readonly policy: Pick<ActivePolicy, 'routesTo'>;
    readonly services: Pick<ServiceCatalog, 'find' | 'isModel'>;
    readonly directory: Pick<EndpointDirectory, 'endpointsOf'>;
    readonly slotShares: Pick<SlotShares, 'isBrittle'>;
  },
): ScheduledServices {
  function hasFewSlots(service: string): boolean {
    const endpoints = directory.endpointsOf(service);
    return (
      endpoints.length > 0 &&
      endpoints.every(({slots}) => slots <= settings.mostSlots)
    );
  }

  /** Whether the settings permit scheduling, by mode. */
  const permits: Readonly<
    Record<GatewaySettings['scheduling']['mode'], (service: string) => boolean>
  > = {
    off: () => false,
    plain: service => !services.isModel(service),
    all: () => true,
  };

  return {
    has: service =>
      permits[settings.mode](service) &&
      services.find(service)?.warmUp === undefined &&
      policy.routesTo(service).some(({goalMs}) => goalMs > 0) &&
      hasFewSlots(service) &&
      !slotShares.isBrittle(service),
  };
}
