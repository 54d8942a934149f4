/** Objects of the platform for tests of mirrors. */
import type {RegisteredEndpoint, TrafficPolicy} from '@skylarkfield/traffic';

/** Returns a policy without routes. */
export function createPolicy(version: number): TrafficPolicy {
  return {
    version,
    routes: [],
    services: [],
    customers: [],
    limits: {headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1},
  };
}

/** Returns the registration of an endpoint. */
export function createEndpoint(
  id: string,
  state: RegisteredEndpoint['state'] = 'ready',
  bornAt = 1,
): RegisteredEndpoint {
  return {
    id,
    bornAt,
    service: 'desk',
    address: '10.0.0.1:80',
    failureDomain: 'a',
    version: 'v1',
    slots: 4,
    state,
    isReclaimable: false,
  };
}
