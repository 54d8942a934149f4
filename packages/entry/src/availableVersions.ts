/** Versions of a service that have endpoints to serve them. */
import type {EndpointPool} from './servingContext.js';

/**
 * Returns the versions of a service for which at least one endpoint is listed
 * and not leaving.
 *
 * @example
 * availableVersions('booking', endpointPool).has('v2');
 */
export function availableVersions(
  service: string,
  endpointPool: Pick<EndpointPool, 'list'>,
): Set<string> {
  const usableEndpoints = endpointPool
    .list()
    .filter(
      ({listedEndpoint, leavingSignal}) =>
        listedEndpoint.service === service && !leavingSignal.aborted,
    );
  return new Set(
    usableEndpoints.map(({listedEndpoint}) => listedEndpoint.version),
  );
}
